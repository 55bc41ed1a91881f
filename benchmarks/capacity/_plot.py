"""One picture with every series and its line."""

import collections
import pathlib

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

from benchmarks.capacity._clock import Point  # noqa: E402
from benchmarks.capacity._fit import fit_line  # noqa: E402

COLUMNS = 6


def plot(points: list[Point], path: pathlib.Path) -> None:
    """Draw the series that have at least four points."""
    series = collections.defaultdict(list)
    for each in points:
        series[each.series].append(each)
    names = sorted(name for name, found in series.items() if len(found) > 3)
    rows = -(-len(names) // COLUMNS)
    figure, axes = pyplot.subplots(
        rows, COLUMNS, figsize=(COLUMNS * 2.6, rows * 2.0)
    )
    for axis in axes.flat[len(names) :]:
        axis.set_visible(False)
    for name, axis in zip(names, axes.flat, strict=False):
        found = sorted(series[name], key=lambda each: each.x)
        line = fit_line(found)
        x = [each.x for each in found]
        axis.plot(x, [each.y for each in found], "o", markersize=3)
        axis.plot(x, [line.at(value) for value in x], linewidth=1)
        axis.set_title(name, fontsize=7)
        label = f"{line.x_name} / {line.unit}"
        axis.set_xlabel(label, fontsize=6)
        axis.tick_params(labelsize=5)
    figure.tight_layout()
    figure.savefig(path, dpi=70)
