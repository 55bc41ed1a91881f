"""Command-line interface for operators."""

from chivescale.cli._main import main

__all__ = ["main"]
