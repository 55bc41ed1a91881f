"""The control role."""

from chivescale.control._host import ControlHost
from chivescale.control._leadership import Leadership

__all__ = ["ControlHost", "Leadership"]
