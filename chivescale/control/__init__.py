"""Control hosts: replicated state, leader duties and their HTTP interface."""

from chivescale.control._host import ControlHost
from chivescale.control._leadership import Leadership

__all__ = ["ControlHost", "Leadership"]
