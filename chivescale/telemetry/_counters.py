"""Counters and histograms in the text format of Prometheus.

The OpenTelemetry SDK costs a quarter of a second of processor time at start
and 24 MB, which hosts of a fraction of a core cannot spare; this registry
keeps the same kinds of instruments.
"""

import bisect
import collections

# Upper bounds in seconds, from a local answer to the longest time limit.
LATENCY_BOUNDS_S = (
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
# Bounds the memory that labels from outside can take.
MAX_SERIES = 2000


class Histogram:
    """Counts values by upper bound."""

    __slots__ = ("buckets", "count", "total")

    def __init__(self):
        self.buckets = [0] * (len(LATENCY_BOUNDS_S) + 1)
        self.count = 0
        self.total = 0.0

    def observe(self, seconds: float) -> None:
        """Add a value."""
        self.buckets[bisect.bisect_left(LATENCY_BOUNDS_S, seconds)] += 1
        self.count += 1
        self.total += seconds


class Counters:
    """Instruments by name and label.

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
        """Add one to a counter."""
        key = (name, label)
        if key in self.counts or len(self.counts) < MAX_SERIES:
            self.counts[key] += 1

    def observe(self, name: str, label: str, seconds: float) -> None:
        """Add a value to a histogram."""
        key = (name, label)
        histogram = self.histograms.get(key)
        if histogram is None:
            if len(self.histograms) >= MAX_SERIES:
                return
            histogram = self.histograms[key] = Histogram()
        histogram.observe(seconds)

    def render(self) -> bytes:
        """Return every instrument as text."""
        lines = []
        for (name, label), value in sorted(self.counts.items()):
            lines.append(f"chivescale_{name}_total{_labels(label)} {value}")
        for (name, label), histogram in sorted(self.histograms.items()):
            lines += _render_histogram(name, label, histogram)
        return ("\n".join(lines) + "\n").encode()


def _labels(label: str, bound: str = "") -> str:
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
    below = 0
    bounds = [*(f"{bound:g}" for bound in LATENCY_BOUNDS_S), "+Inf"]
    for bound, count in zip(bounds, histogram.buckets, strict=True):
        below += count
        lines.append(f"{base}_bucket{_labels(label, bound)} {below}")
    lines.append(f"{base}_sum{_labels(label)} {histogram.total:.6f}")
    lines.append(f"{base}_count{_labels(label)} {histogram.count}")
    return lines


COUNTERS = Counters()
