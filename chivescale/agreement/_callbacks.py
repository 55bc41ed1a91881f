"""Callbacks from the agreement host to the replicated state."""

import collections.abc
import typing

import msgspec


class Callbacks(msgspec.Struct):
    """Synchronous functions that connect the log to the replicated state.

    Attributes
    ----------
    apply : callable
        ``(index, command) -> result``, called for each committed command in
        log order.
    snapshot : callable
        ``() -> bytes``, encodes the state after the last applied command.
    restore : callable
        ``(bytes) -> None``, replaces the state by an encoded one.
    leadership : callable
        ``(leading, term) -> None``, called when this host gains or loses
        leadership. Leadership is reported only after all commands of former
        leaders have been applied.
    """

    apply: collections.abc.Callable[[int, bytes], typing.Any]
    snapshot: collections.abc.Callable[[], bytes]
    restore: collections.abc.Callable[[bytes], None]
    leadership: collections.abc.Callable[[bool, int], None]
