"""Processor time, memory and one point of a series."""

import collections.abc
import gc
import statistics
import time
import tracemalloc
import typing

import msgspec

REPEATS = 5
MIN_SLICE_S = 0.02


class Point(msgspec.Struct, frozen=True):
    """One measured point.

    Attributes
    ----------
    series : str
        Name of the series, ``area.what``.
    x_name, x : str, float
        What was varied, and its value.
    unit, y : str, float
        Median of `runs`.
    runs : tuple of float
        Every repetition.
    """

    series: str
    x_name: str
    x: float
    unit: str
    y: float
    runs: tuple[float, ...]


def point(series, x_name, x, unit, runs) -> Point:
    """Return the point of several repetitions."""
    runs = tuple(round(float(run), 4) for run in runs)
    return Point(series, x_name, x, unit, statistics.median(runs), runs)


def cpu_us(
    work: collections.abc.Callable[[], typing.Any],
    repeats: int = REPEATS,
    slice_s: float = MIN_SLICE_S,
) -> list[float]:
    """Return the processor time of one call, in microseconds.

    A call is repeated until `slice_s` of processor time has passed, since
    other programs of a shared machine disturb short measurements most.
    """
    runs = []
    for _ in range(repeats):
        gc.collect()
        calls, started = 0, time.process_time()
        while True:
            work()
            calls += 1
            used = time.process_time() - started
            if used >= slice_s:
                break
        runs.append(used / calls * 1e6)
    return runs


def memory_bytes(build: collections.abc.Callable[[], typing.Any]) -> int:
    """Return the bytes that the result of `build` keeps allocated."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = build()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return after - before
