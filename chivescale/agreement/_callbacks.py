"""Interface between the agreement host and the owner of the state."""

import collections.abc
import typing

import msgspec


class Callbacks(msgspec.Struct):
    """What the host does with the log; plain functions.

    Attributes
    ----------
    apply : callable
        ``(index, command) -> result`` for each committed command, in order.
    snapshot : callable
        ``() -> bytes``: the state after the last applied command.
    restore : callable
        ``(bytes) -> None``: replaces the state.
    leadership : callable
        ``(leading, term) -> None``: this host began or ended to lead. It
        begins when all commands of earlier leaders are applied.
    """

    apply: collections.abc.Callable[[int, bytes], typing.Any]
    snapshot: collections.abc.Callable[[], bytes]
    restore: collections.abc.Callable[[bytes], None]
    leadership: collections.abc.Callable[[bool, int], None]
