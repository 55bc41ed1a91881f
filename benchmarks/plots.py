"""Plots of the measures."""

import pathlib

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402  (the backend comes first)

SIZE_INCHES = (8, 4.5)


def plot_distributions(
    path: pathlib.Path, series: dict[str, list[float]], label: str
) -> None:
    """Draw the cumulative distribution of each series."""
    figure, axes = pyplot.subplots(figsize=SIZE_INCHES)
    for name, values in series.items():
        ordered = sorted(values)
        shares = [(n + 1) / len(ordered) for n in range(len(ordered))]
        axes.step(ordered, shares, where="post", label=name)
    axes.set_ylabel("share of measurements")
    _finish(figure, axes, path, label)


def plot_bars(
    path: pathlib.Path, values: dict[str, dict[str, float]], label: str
) -> None:
    """Draw one group of bars for each name, one bar for each series."""
    figure, axes = pyplot.subplots(figsize=SIZE_INCHES)
    names = list(values)
    series = list(
        dict.fromkeys(key for bars in values.values() for key in bars)
    )
    width = 0.8 / max(1, len(series))
    for number, key in enumerate(series):
        places = [n + number * width for n in range(len(names))]
        heights = [values[name].get(key, 0.0) for name in names]
        axes.bar(places, heights, width, label=key)
    middle = 0.4 - width / 2
    axes.set_xticks([n + middle for n in range(len(names))], names)
    axes.tick_params(axis="x", labelrotation=20)
    axes.set_ylabel(label)
    _finish(figure, axes, path, "")


def _finish(figure, axes, path: pathlib.Path, label: str) -> None:
    axes.set_xlabel(label)
    axes.legend()
    axes.grid(alpha=0.3)
    figure.tight_layout()
    figure.savefig(path, dpi=120)
    pyplot.close(figure)
