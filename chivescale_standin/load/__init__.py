"""Load tool: records every outcome and checks it against the data."""

from chivescale_standin.load._link import Link, StatementError
from chivescale_standin.load._plan import (
    Latency,
    LoadPlan,
    LoadReport,
    Record,
)
from chivescale_standin.load._run import check_rows, run_load, summarize

__all__ = [
    "Latency",
    "Link",
    "LoadPlan",
    "LoadReport",
    "Record",
    "StatementError",
    "check_rows",
    "run_load",
    "summarize",
]
