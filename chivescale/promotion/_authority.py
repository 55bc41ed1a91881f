"""The system that carries out promotions."""

import enum
import typing


class OrderOutcome(enum.Enum):
    """Answer to an order.

    ``ACCEPTED``: the endpoint will lead the next term, or leads already.
    ``REJECTED``: a higher fencing token was used, or the endpoint is not
    running. ``UNKNOWN``: no answer; the order may be carried out later.
    """

    ACCEPTED = enum.auto()
    REJECTED = enum.auto()
    UNKNOWN = enum.auto()


class PromotionAuthority(typing.Protocol):
    """Carries out promotions under fencing tokens."""

    async def promote(
        self, service: str, endpoint: str, holder: str, token: int
    ) -> OrderOutcome:
        """Order that an endpoint becomes the primary of a service."""
