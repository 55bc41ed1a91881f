"""Counters and histograms in the text format of Prometheus.

The OpenTelemetry SDK takes 0.25 s of CPU time at start and 24 MB of memory,
too much for hosts with a fraction of a core. This registry provides the same
kinds of instruments.
"""

import bisect
import collections

# Upper bounds, from a local response up to the longest time limit.
LATENCY_BUCKETS_S = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.4,
    0.8,
    1.6,
    3.2,
)
# Limits the memory used by label values that come from callers.
MAX_SERIES = 2000


class Histogram:
    """Histogram with fixed bucket bounds."""

    __slots__ = ("buckets", "count", "sum_s")

    def __init__(self):
        self.buckets = [0] * (len(LATENCY_BUCKETS_S) + 1)
        self.count = 0
        self.sum_s = 0.0

    def observe(self, seconds: float) -> None:
        """Record a value."""
        self.buckets[bisect.bisect_left(LATENCY_BUCKETS_S, seconds)] += 1
        self.count += 1
        self.sum_s += seconds


class Counters:
    """Counters and histograms, each identified by a name and a label.

    Attributes
    ----------
    counts : dict
        ``(name, label) -> int``.
    histograms : dict
        ``(name, label) -> Histogram``.
    """

    def __init__(self):
        self.counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.histograms: dict[tuple[str, str], Histogram] = {}

    def count(self, name: str, label: str = "") -> None:
        """Increment a counter."""
        key = (name, label)
        if key in self.counts or len(self.counts) < MAX_SERIES:
            self.counts[key] += 1

    def observe(self, name: str, label: str, seconds: float) -> None:
        """Record a value in a histogram."""
        key = (name, label)
        histogram = self.histograms.get(key)
        if histogram is None:
            if len(self.histograms) >= MAX_SERIES:
                return
            histogram = self.histograms[key] = Histogram()
        histogram.observe(seconds)

    def render(self) -> bytes:
        """Return all instruments in the text format of Prometheus."""
        lines = []
        for (name, label), value in sorted(self.counts.items()):
            lines.append(
                f"chivescale_{name}_total{_format_labels(label)} {value}"
            )
        for (name, label), histogram in sorted(self.histograms.items()):
            lines += _render_histogram(name, label, histogram)
        return ("\n".join(lines) + "\n").encode()


def _format_labels(label: str, bound: str = "") -> str:
    pairs = []
    if label:
        escaped = label.replace("\\", "\\\\").replace('"', '\\"')
        pairs.append(f'label="{escaped}"')
    if bound:
        pairs.append(f'le="{bound}"')
    return "{" + ",".join(pairs) + "}" if pairs else ""


def _render_histogram(name, label, histogram) -> list[str]:
    base = f"chivescale_{name}_seconds"
    lines = []
    cumulative = 0
    bounds = [*(f"{bound:g}" for bound in LATENCY_BUCKETS_S), "+Inf"]
    for bound, count in zip(bounds, histogram.buckets, strict=True):
        cumulative += count
        lines.append(
            f"{base}_bucket{_format_labels(label, bound)} {cumulative}"
        )
    lines.append(f"{base}_sum{_format_labels(label)} {histogram.sum_s:.6f}")
    lines.append(f"{base}_count{_format_labels(label)} {histogram.count}")
    return lines


COUNTERS = Counters()
