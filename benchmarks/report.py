"""Fill docs/measurements.md: ``python -m benchmarks.report FOLDER``.

The page is a template (`benchmarks/measurements.md.in`) whose fields
``{{benchmark:figure}}`` and ``{{benchmark:figure:format}}`` take the figures
of the run in FOLDER. Without FOLDER every field reads "not run".
"""

import argparse
import collections.abc
import pathlib
import re
import sys

from benchmarks.records import IncompleteRun, read_run
from tools.processes import ROOT

TEMPLATE = pathlib.Path(__file__).with_name("measurements.md.in")
PAGE = ROOT / "docs" / "measurements.md"
NOT_RUN = "not run"
START_FIELDS = ("command", "commit", "seed", "cores", "load_average")
_FIELD = re.compile(r"\{\{([a-z]+):([^}:]+)(?::([^}]+))?\}\}")


def fill(template: str, folder: pathlib.Path) -> str:
    """Return the page with the figures of a run.

    Raises
    ------
    IncompleteRun
        If a benchmark that the template names did not run completely, or
        lacks a figure.
    """
    runs: dict[str, tuple[dict, dict]] = {}

    def value_of(match: re.Match) -> str:
        name, key, form = match.groups()
        if name not in runs:
            runs[name] = read_run(folder / f"{name}.jsonl")
        start, figures = runs[name]
        if key in START_FIELDS:
            return str(start[key])
        if key not in figures:
            raise IncompleteRun(f"{name}: no figure {key}")
        return format(figures[key]["value"], form or ".4g")

    return _FIELD.sub(value_of, template)


def fill_partial(template: str, folders: list[pathlib.Path]) -> str:
    """Return the page with the figures of several complete partial runs.

    A field that no run has reads "not run"; an interrupted or quick run
    counts as not run.
    """
    found: dict[str, list[tuple[dict, dict]]] = {}
    for folder in folders:
        for path in sorted(folder.glob("*.jsonl")):
            try:
                found.setdefault(path.stem, []).append(read_run(path))
            except IncompleteRun as err:
                print(f"report: left out: {err}", file=sys.stderr)

    def value_of(match: re.Match) -> str:
        name, key, form = match.groups()
        runs = found.get(name, [])
        if key in START_FIELDS and runs:
            return "; ".join(str(start[key]) for start, _ in runs)
        for _, figures in runs:
            if key in figures:
                return format(figures[key]["value"], form or ".4g")
        return NOT_RUN

    return _FIELD.sub(value_of, template)


def fill_empty(template: str) -> str:
    """Return the page with every field marked as not run."""
    return _FIELD.sub(NOT_RUN, template)


def main(arguments: collections.abc.Sequence[str] | None = None) -> int:
    """Write the page; the exit code is 1 for an incomplete run."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.report")
    parser.add_argument("folder", nargs="*", type=pathlib.Path)
    parser.add_argument(
        "--partial",
        action="store_true",
        help="take figures from several runs; mark the others as not run",
    )
    parser.add_argument("--page", type=pathlib.Path, default=PAGE)
    options = parser.parse_args(arguments)
    template = TEMPLATE.read_text()
    try:
        if not options.folder:
            page = fill_empty(template)
        elif options.partial:
            page = fill_partial(template, options.folder)
        else:
            page = fill(template, options.folder[0])
    except IncompleteRun as err:
        print(f"report: {err}", file=sys.stderr)
        return 1
    options.page.write_text(page)
    return 0


if __name__ == "__main__":
    sys.exit(main())
