"""Statements and answers, independent of the protocol that carries them."""

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
