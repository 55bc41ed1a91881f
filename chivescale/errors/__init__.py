"""Closed set of error kinds and the sentinel value that reports one."""

from chivescale.errors._failure import Failure, is_failure
from chivescale.errors._kinds import KIND_TABLE, ErrorKind, ErrorProperties

__all__ = [
    "KIND_TABLE",
    "ErrorKind",
    "ErrorProperties",
    "Failure",
    "is_failure",
]
