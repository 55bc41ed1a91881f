"""The operator's command line."""

from chivescale.cli._main import main

__all__ = ["main"]
