"""The sheet: a CSV file with the complete desired state."""

from chivescale.sheet._advice import SheetWarning, find_warnings
from chivescale.sheet._diff import Change, diff
from chivescale.sheet._format import format_sheet
from chivescale.sheet._model import (
    COLUMNS,
    Defect,
    Sheet,
    digest,
    make_sheet,
)
from chivescale.sheet._parse import (
    MAX_SHEET_BYTES,
    MAX_SHEET_ROWS,
    check_sheet,
    parse_sheet,
)

__all__ = [
    "COLUMNS",
    "MAX_SHEET_BYTES",
    "MAX_SHEET_ROWS",
    "Change",
    "Defect",
    "Sheet",
    "SheetWarning",
    "check_sheet",
    "diff",
    "digest",
    "find_warnings",
    "format_sheet",
    "make_sheet",
    "parse_sheet",
]
