"""Program ``python -m chivescale_standin.load``."""

import argparse
import asyncio
import sys

import msgspec

from chivescale_standin.load import LoadPlan, run_load


def parse_plan(arguments: list[str]) -> LoadPlan:
    """Read a plan from flags; they are named like its fields."""
    parser = argparse.ArgumentParser(prog="python -m chivescale_standin.load")
    for field in msgspec.structs.fields(LoadPlan):
        if field.name == "addresses":
            parser.add_argument(
                "--address", action="append", required=True, metavar="IP:PORT"
            )
            continue
        flag = "--" + field.name.replace("_", "-")
        parser.add_argument(flag, default=field.default)
    options = vars(parser.parse_args(arguments))
    options["addresses"] = options.pop("address")
    try:
        return msgspec.convert(options, LoadPlan, strict=False)
    except msgspec.ValidationError as err:
        parser.error(str(err))


def main() -> int:
    """Run the plan; print the report as one JSON line."""
    report = asyncio.run(run_load(parse_plan(sys.argv[1:])))
    print(msgspec.json.encode(report).decode(), flush=True)
    return 0 if report.sound else 1


if __name__ == "__main__":
    sys.exit(main())
