"""The daemon process of an entry or control host."""

from chivescale.daemon._main import main

__all__ = ["main"]
