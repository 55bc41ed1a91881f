"""Interface to the system that performs promotions."""

import enum
import typing


class OrderOutcome(enum.Enum):
    """Result of a promotion order.

    ``ACCEPTED``: the endpoint is or becomes the primary of the next term.
    ``REJECTED``: a higher fencing token was already used, or the endpoint is
    not running. ``UNKNOWN``: there was no answer; the order may still be
    executed later.
    """

    ACCEPTED = enum.auto()
    REJECTED = enum.auto()
    UNKNOWN = enum.auto()


class PromotionAuthority(typing.Protocol):
    """Performs promotions that are protected by fencing tokens."""

    async def promote(
        self, service: str, endpoint: str, holder: str, token: int
    ) -> OrderOutcome:
        """Order the promotion of an endpoint to primary of a service."""
