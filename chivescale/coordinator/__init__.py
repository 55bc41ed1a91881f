"""Control role for services whose promotions another system carries out."""

from chivescale.coordinator._host import CoordinatorHost, CoordinatorSettings

__all__ = ["CoordinatorHost", "CoordinatorSettings"]
