"""Files of the measurement, and the page that shows them."""

import pathlib
import re

import msgspec

from benchmarks.capacity._clock import Point
from benchmarks.capacity._fit import Line

FOLDER = pathlib.Path(__file__).resolve().parent
RESULTS = FOLDER / "results"
SUMMARY = RESULTS / "summary.json"
PAGE = FOLDER.parent.parent / "docs" / "CAPACITY.md"

_TABLE = re.compile(
    r"(<!-- table: (?P<name>[\w-]+) -->\n).*?(<!-- end of table -->)",
    re.DOTALL,
)


def read_points(path: pathlib.Path) -> list[Point]:
    """Return the points of a file of JSON lines."""
    lines = path.read_bytes().splitlines()
    return [msgspec.json.decode(line, type=Point) for line in lines]


def read_lines() -> dict[str, Line]:
    """Return the fitted lines of the committed summary."""
    lines = msgspec.json.decode(SUMMARY.read_bytes(), type=list[Line])
    return {line.series: line for line in lines}


def tables_of(page: str) -> dict[str, str]:
    """Return the tables of a page by name."""
    found = {}
    for match in _TABLE.finditer(page):
        text = match.group(0).removeprefix(match.group(1))
        text = text.removesuffix(match.group(3))
        found[match.group("name")] = text.strip()
    return found


def fill_page(page: str, tables: dict[str, str]) -> str:
    """Return the page with every marked table replaced."""

    def replace(match: re.Match) -> str:
        table = tables[match.group("name")]
        return f"{match.group(1)}\n{table}\n\n{match.group(3)}"

    return _TABLE.sub(replace, page)
