"""Program ``python -m benchmarks.capacity``."""

import argparse
import pathlib
import sys
import time

import msgspec

from benchmarks.capacity._clock import Point
from benchmarks.capacity._fit import fit_all
from benchmarks.capacity._page import (
    PAGE,
    RESULTS,
    SUMMARY,
    fill_page,
    read_lines,
    read_points,
)
from benchmarks.capacity._tables import make_tables

GROUPS = (
    "control",
    "state",
    "agreement",
    "transport",
    "entry",
    "watch",
    "statements",
)


def _measure(options) -> int:
    path = pathlib.Path(options.out)
    lines: dict[tuple, Point] = {}
    if path.exists():
        for line in path.read_bytes().splitlines():
            each = msgspec.json.decode(line, type=Point)
            lines[each.series, each.x] = each
    for group in options.groups or GROUPS:
        started, used = time.monotonic(), time.process_time()
        module = __import__(
            f"benchmarks.capacity._{group}", fromlist=["measure"]
        )
        seen: set[str] = set()
        for each in module.measure():
            if each.series not in seen:
                seen.add(each.series)
                for key in [key for key in lines if key[0] == each.series]:
                    del lines[key]
            lines[each.series, each.x] = each
            print(f"{each.series:36} {each.x_name}={each.x:g}", end=" ")
            print(f"{each.y:.6g} {each.unit}", flush=True)
        data = [msgspec.json.encode(each) for each in lines.values()]
        path.write_bytes(b"\n".join(data) + b"\n")
        wall = time.monotonic() - started
        cpu = time.process_time() - used
        print(f"# {group}: {wall:.1f} s, {cpu:.1f} s of processor time")
    return 0


def _fit(options) -> int:
    """Write the fitted lines, and a plot of every series."""
    lines = fit_all(read_points(pathlib.Path(options.points)))
    data = msgspec.json.encode(list(lines.values()))
    SUMMARY.write_bytes(msgspec.json.format(data, indent=1) + b"\n")
    return 0


def _plot(options) -> int:
    from benchmarks.capacity._plot import plot

    plot(read_points(pathlib.Path(options.points)), RESULTS / "slopes.png")
    return 0


def _report(options) -> int:
    for name, table in make_tables(read_lines()).items():
        print(f"## {name}\n\n{table}\n")
    return 0


def _page(options) -> int:
    """Put the tables into the page, between their markers."""
    PAGE.write_text(fill_page(PAGE.read_text(), make_tables(read_lines())))
    return 0


def main() -> int:
    """Run one command."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.capacity")
    commands = parser.add_subparsers(required=True)
    measure = commands.add_parser("measure", help="measure and store points")
    measure.add_argument("groups", nargs="*", choices=[[], *GROUPS])
    measure.add_argument("--out", default=str(RESULTS / "points.jsonl"))
    measure.set_defaults(run=_measure)
    for name, run, text in (
        ("fit", _fit, "fit lines to the points"),
        ("plot", _plot, "draw the points and their lines"),
        ("report", _report, "print the tables of the page"),
        ("page", _page, "write the tables into the page"),
    ):
        command = commands.add_parser(name, help=text)
        command.add_argument("--points", default=str(RESULTS / "points.jsonl"))
        command.set_defaults(run=run)
    options = parser.parse_args()
    return options.run(options)


if __name__ == "__main__":
    sys.exit(main())
