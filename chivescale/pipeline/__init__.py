"""Request path of an entry host, as a chain of filters.

measure, authenticate, read_hints, classify_statement, admit, track_session,
then the step of the statement's class: read, write, keyed write or
transaction, each of which routes, connects, executes and confirms.
"""

from chivescale.pipeline._admission import (
    admit,
    authenticate,
    classify_statement,
    find_binding,
    measure,
    read_hints,
    resolve,
)
from chivescale.pipeline._call import (
    Call,
    CallerState,
    Environment,
    Pinned,
    Service,
    compose,
)
from chivescale.pipeline._dispatch import dispatch, track_session
from chivescale.pipeline._gate import EndpointGate
from chivescale.pipeline._service import ServiceView
from chivescale.pipeline._transaction import close_transaction

__all__ = [
    "Call",
    "CallerState",
    "EndpointGate",
    "Environment",
    "Pinned",
    "Service",
    "ServiceView",
    "build_request_path",
    "close_transaction",
    "compose",
    "find_binding",
    "resolve",
]


def build_request_path():
    """Return the whole request path as one step."""
    filters = [
        measure,
        authenticate,
        read_hints,
        classify_statement,
        admit,
        track_session,
    ]
    return compose(filters, dispatch)
