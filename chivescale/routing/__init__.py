"""Statement classification, hints and endpoint selection."""

from chivescale.routing._choose import Candidate, Requirements, choose_endpoint
from chivescale.routing._classify import (
    StatementClass,
    classify,
    needs_session,
)
from chivescale.routing._hints import Hints, parse_hints
from chivescale.routing._local import LocalAnswer, SessionState, local_answer
from chivescale.routing._set import parse_set
from chivescale.routing._transaction import (
    TransactionModes,
    may_commit,
    transaction_modes,
)
from chivescale.routing._zone_share import ZoneShare

__all__ = [
    "Candidate",
    "Hints",
    "LocalAnswer",
    "Requirements",
    "SessionState",
    "StatementClass",
    "TransactionModes",
    "ZoneShare",
    "choose_endpoint",
    "classify",
    "local_answer",
    "may_commit",
    "needs_session",
    "parse_hints",
    "parse_set",
    "transaction_modes",
]
