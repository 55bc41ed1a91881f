"""Program ``python -m benchmarks.capacity``."""

import argparse
import pathlib
import sys
import time

import msgspec

from benchmarks.capacity._clock import Point

FOLDER = pathlib.Path(__file__).resolve().parent
RESULTS = FOLDER / "results"
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
        for each in module.measure():
            lines[each.series, each.x] = each
            print(f"{each.series:36} {each.x_name}={each.x:g}", end=" ")
            print(f"{each.y:.6g} {each.unit}", flush=True)
        data = [msgspec.json.encode(each) for each in lines.values()]
        path.write_bytes(b"\n".join(data) + b"\n")
        wall = time.monotonic() - started
        cpu = time.process_time() - used
        print(f"# {group}: {wall:.1f} s, {cpu:.1f} s of processor time")
    return 0


def main() -> int:
    """Run one command."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.capacity")
    commands = parser.add_subparsers(required=True)
    measure = commands.add_parser("measure", help="measure and store points")
    measure.add_argument("groups", nargs="*", choices=[[], *GROUPS])
    measure.add_argument("--out", default=str(RESULTS / "points.jsonl"))
    measure.set_defaults(run=_measure)
    options = parser.parse_args()
    return options.run(options)


if __name__ == "__main__":
    sys.exit(main())
