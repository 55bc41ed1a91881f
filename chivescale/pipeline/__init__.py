"""Request pipeline of an entry host, built as a chain of filters.

A statement passes the filters record_metrics, authenticate, read_hints,
classify_statement, admit and track_session. The handler of its statement
class (read, write, keyed write or transaction) then selects an endpoint,
acquires a connection, executes the statement and confirms the result.
"""

from chivescale.pipeline._admission import (
    admit,
    authenticate,
    classify_statement,
    find_binding,
    read_hints,
    record_metrics,
    resolve_access,
)
from chivescale.pipeline._call import (
    Call,
    CallerState,
    Environment,
    PinnedTransaction,
    Service,
    compose,
)
from chivescale.pipeline._dispatch import dispatch, track_session
from chivescale.pipeline._gate import EndpointGate
from chivescale.pipeline._interrupt import interrupted
from chivescale.pipeline._service import ServiceView
from chivescale.pipeline._transaction import close_transaction

__all__ = [
    "Call",
    "CallerState",
    "EndpointGate",
    "Environment",
    "PinnedTransaction",
    "Service",
    "ServiceView",
    "build_request_path",
    "close_transaction",
    "compose",
    "find_binding",
    "interrupted",
    "resolve_access",
]


def build_request_path():
    """Return the complete request pipeline as a single step."""
    filters = [
        record_metrics,
        authenticate,
        read_hints,
        classify_statement,
        admit,
        track_session,
    ]
    return compose(filters, dispatch)
