"""Retry budget, backoff and the rules for retrying requests."""

from chivescale.retry._budget import RetryBudget, backoff_s
from chivescale.retry._resend import Attempt, Request, may_resend

__all__ = ["Attempt", "Request", "RetryBudget", "backoff_s", "may_resend"]
