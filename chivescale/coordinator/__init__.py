"""Control role for services with external promotion."""

from chivescale.coordinator._host import CoordinatorHost, CoordinatorSettings

__all__ = ["CoordinatorHost", "CoordinatorSettings"]
