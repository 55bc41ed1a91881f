"""Retry budget, backoff and the rules for retrying requests."""

from chivescale.retry._budget import RetryBudget, backoff_s
from chivescale.retry._resend import FailedAttempt, RequestClass, may_resend

__all__ = [
    "FailedAttempt",
    "RequestClass",
    "RetryBudget",
    "backoff_s",
    "may_resend",
]
