"""Protocol-independent statements, replies and codec interfaces."""

from chivescale.dialect._types import (
    AnswerEnd,
    CallerDialect,
    Completed,
    EndpointDialect,
    EndpointState,
    OpenSession,
    Refused,
    Reply,
    Row,
    Statement,
    StatementKind,
    Terminate,
    TransactionState,
)

__all__ = [
    "AnswerEnd",
    "CallerDialect",
    "Completed",
    "EndpointDialect",
    "EndpointState",
    "OpenSession",
    "Refused",
    "Reply",
    "Row",
    "Statement",
    "StatementKind",
    "Terminate",
    "TransactionState",
]
