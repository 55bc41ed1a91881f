"""Closed list of error kinds and the sentinel value that carries one."""

from chivescale.errors._failure import Failure, is_failure
from chivescale.errors._kinds import KIND_TABLE, ErrorKind, KindAnswer

__all__ = ["KIND_TABLE", "ErrorKind", "Failure", "KindAnswer", "is_failure"]
