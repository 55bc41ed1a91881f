"""Load tool: records every outcome and checks it against the data."""

from chivescale_standin.load._plan import (
    Latency,
    LoadPlan,
    LoadReport,
    Record,
)
from chivescale_standin.load._run import check_rows, run_load, summarize

__all__ = [
    "Latency",
    "LoadPlan",
    "LoadReport",
    "Record",
    "check_rows",
    "run_load",
    "summarize",
]
