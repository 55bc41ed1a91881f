"""JSON lines of a benchmark run.

A file holds one ``start`` line, ``row`` lines (single measurements),
``figure`` lines (values for the report) and one ``end`` line. The end line
counts the others, so an interrupted or edited run is noticed.
"""

import json
import math
import os
import pathlib
import shlex
import subprocess
import sys
import time

from tools.processes import ROOT


class IncompleteRun(Exception):
    """A run that the report must not use."""


class Recorder:
    """Writes the records of one benchmark; a context manager.

    The end line is left out if the benchmark fails.

    Parameters
    ----------
    path : Path
        File to write.
    name : str
        Benchmark.
    quick : bool
        Whether the run has too few repetitions for the report.
    seed : int
        Seed of its random choices.
    """

    def __init__(self, path: pathlib.Path, name: str, quick: bool, seed: int):
        self.path = path
        self.name = name
        self.quick = quick
        self.seed = seed
        # Prefix of the only parts to run; empty for all.
        self.part = ""
        self.rows: list[dict] = []
        self.figures: dict[str, float] = {}

    def __enter__(self) -> "Recorder":
        self.file = open(self.path, "w", encoding="utf-8")
        self.started = time.monotonic()
        self._write(
            "start",
            name=self.name,
            quick=self.quick,
            seed=self.seed,
            command=f"python -m benchmarks {shlex.join(sys.argv[1:])}",
            commit=_commit(),
            cores=os.cpu_count(),
            load_average=round(os.getloadavg()[0], 2),
        )
        return self

    def __exit__(self, kind, *_details) -> None:
        if kind is None:
            self._write(
                "end",
                rows=len(self.rows),
                figures=len(self.figures),
                seconds=round(time.monotonic() - self.started, 1),
            )
        self.file.close()

    def row(self, **fields: object) -> None:
        """Record one measurement."""
        self.rows.append(fields)
        self._write("row", **fields)

    def figure(self, name: str, value: float, count: int, need: int) -> None:
        """Record a value for the report.

        Parameters
        ----------
        name : str
            Name, unique within the benchmark.
        value : float
            Value.
        count, need : int
            Measurements that it rests on, and how many a full run needs.
        """
        if name in self.figures:
            raise ValueError(f"figure {name} recorded twice")
        self.figures[name] = value
        self._write("figure", name=name, value=value, count=count, need=need)
        print(f"{self.name}: {name} = {value:.4g} (n={count})", flush=True)

    def _write(self, kind: str, **fields: object) -> None:
        line = {key: _plain(value) for key, value in fields.items()}
        self.file.write(json.dumps({"kind": kind} | line) + "\n")
        self.file.flush()


def read_run(path: pathlib.Path) -> tuple[dict, dict[str, dict]]:
    """Return the start line and the figures of a complete full run.

    Raises
    ------
    IncompleteRun
        If the run was quick, was interrupted, or lacks measurements.
    """
    if not path.exists():
        raise IncompleteRun(f"{path.name}: no such run")
    try:
        lines = [json.loads(line) for line in path.read_text().splitlines()]
    except ValueError as err:
        raise IncompleteRun(f"{path.name}: {err}") from err
    if not lines or lines[0].get("kind") != "start":
        raise IncompleteRun(f"{path.name}: no start")
    if lines[-1].get("kind") != "end":
        raise IncompleteRun(f"{path.name}: interrupted")
    start, end = lines[0], lines[-1]
    if start["quick"]:
        raise IncompleteRun(f"{path.name}: quick run")
    rows = sum(line["kind"] == "row" for line in lines)
    figures = [line for line in lines if line["kind"] == "figure"]
    if (rows, len(figures)) != (end["rows"], end["figures"]):
        raise IncompleteRun(f"{path.name}: lines are missing")
    for figure in figures:
        if figure["value"] is None or figure["count"] < figure["need"]:
            raise IncompleteRun(
                f"{path.name}: {figure['name']} rests on {figure['count']} "
                f"of {figure['need']} measurements"
            )
    return start, {figure["name"]: figure for figure in figures}


def _plain(value: object) -> object:
    """Return a value that JSON can hold."""
    if isinstance(value, float):
        return None if math.isnan(value) else round(value, 4)
    return value


def _commit() -> str:
    done = subprocess.run(
        ["git", "describe", "--always", "--dirty"],
        check=False,
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    return done.stdout.strip()
