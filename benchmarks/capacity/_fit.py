"""Straight lines through measured points."""

import collections

import msgspec
import numpy

from benchmarks.capacity._clock import Point


class Line(msgspec.Struct, frozen=True):
    """Least-squares line of one series.

    Attributes
    ----------
    series, x_name, unit : str
        As in the points.
    points : int
        Number of points.
    low, high : float
        Range of x that was measured.
    slope, intercept : float
        In `unit` per x, and in `unit`.
    residual : float
        Largest distance of a point from the line, as a share of the largest
        value measured.
    """

    series: str
    x_name: str
    unit: str
    points: int
    low: float
    high: float
    slope: float
    intercept: float
    residual: float

    def at(self, x: float) -> float:
        """Return the value of the line at `x`."""
        return self.intercept + self.slope * x


def fit_line(points: list[Point]) -> Line:
    """Return the line of one series; one point makes a constant.

    Examples
    --------
    >>> points = [Point("a.b", "n", x, "us", 3 * x + 1, ()) for x in range(4)]
    >>> line = fit_line(points)
    >>> round(line.slope, 6), round(line.intercept, 6), line.residual < 1e-6
    (3.0, 1.0, True)
    """
    x = numpy.array([each.x for each in points], dtype=float)
    y = numpy.array([each.y for each in points], dtype=float)
    if len(points) == 1:
        slope, intercept = 0.0, float(y[0])
    else:
        columns = numpy.column_stack([x, numpy.ones_like(x)])
        solution = numpy.linalg.lstsq(columns, y, rcond=None)[0]
        slope, intercept = (float(value) for value in solution)
    largest = float(numpy.max(numpy.abs(y))) or 1.0
    distance = float(numpy.max(numpy.abs(slope * x + intercept - y)))
    first = points[0]
    return Line(
        first.series,
        first.x_name,
        first.unit,
        len(points),
        float(x.min()),
        float(x.max()),
        float(f"{slope:.6g}"),
        float(f"{intercept:.6g}"),
        round(distance / largest, 4),
    )


def fit_all(points: list[Point]) -> dict[str, Line]:
    """Return the line of every series, by name."""
    series = collections.defaultdict(list)
    for each in points:
        series[each.series].append(each)
    return {name: fit_line(series[name]) for name in sorted(series)}
