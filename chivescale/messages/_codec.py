"""JSON encoding and decoding of messages with validation."""

import collections.abc
import functools
import typing

import msgspec

from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.telemetry import COUNTERS, log_event

T = typing.TypeVar("T")
# Type of a field that holds independent elements. Those that cannot be read
# are passed over, and the others are used.
_INDEPENDENT = {"independent": True}
Elements = typing.Annotated[tuple[T, ...], msgspec.Meta(extra=_INDEPENDENT)]

_encoder = msgspec.json.Encoder()
_decoders: dict[typing.Any, msgspec.json.Decoder] = {}


def encode(message: object) -> bytes:
    """Encode a message as JSON."""
    return _encoder.encode(message)


def split_by_size(
    items: collections.abc.Iterable[T], max_bytes: int
) -> list[tuple[T, ...]]:
    """Split items into parts that fit into messages.

    Parameters
    ----------
    items : iterable
        Elements of a list; none is larger than a part on its own.
    max_bytes : int
        Encoded size of the elements of one part.

    Returns
    -------
    list of tuple
        Parts in order; empty if there are no items.
    """
    parts: list[list[T]] = []
    left = 0
    for item in items:
        size = len(encode(item)) + 1
        if not parts or size > left:
            parts.append([])
            left = max_bytes
        parts[-1].append(item)
        left -= size
    return [tuple(part) for part in parts]


def decode(body: bytes, message_type: type[T]) -> T | Failure:
    """Decode and validate a message.

    Parameters
    ----------
    body : bytes
        JSON document.
    message_type : type
        Expected message type.

    Returns
    -------
    message or Failure
        Decoded message, or ``MESSAGE_INVALID`` with the path of the invalid
        field. An invalid element of a field of type `Elements` is passed
        over.
    """
    message = _decode(body, message_type)
    if is_failure(message) and (fields := _independent_fields(message_type)):
        return _decode_readable(body, message_type, fields, message)
    return message


def _decode(body: bytes, message_type):
    decoder = _decoders.get(message_type)
    if decoder is None:
        decoder = msgspec.json.Decoder(message_type)
        _decoders[message_type] = decoder
    try:
        return decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as err:
        return Failure(ErrorKind.MESSAGE_INVALID, str(err))


@functools.cache
def _independent_fields(message_type) -> dict[str, type]:
    """Return the element types of the fields with independent elements."""
    if not isinstance(message_type, type) or not issubclass(
        message_type, msgspec.Struct
    ):
        return {}
    hints = typing.get_type_hints(message_type, include_extras=True)
    return {
        field.encode_name: typing.get_args(hints[field.name].__origin__)[0]
        for field in msgspec.structs.fields(message_type)
        if _is_independent(hints[field.name])
    }


def _is_independent(hint) -> bool:
    return any(
        getattr(meta, "extra", None) == _INDEPENDENT
        for meta in getattr(hint, "__metadata__", ())
    )


def _decode_readable(body: bytes, message_type, fields, failure: Failure):
    """Decode a message without the elements that cannot be read."""
    parts = _decode(body, dict[str, msgspec.Raw])
    if is_failure(parts):
        return failure
    for name, element_type in fields.items():
        if name not in parts:
            continue
        elements = _decode(bytes(parts[name]), list[msgspec.Raw])
        if is_failure(elements):
            return failure
        failures = {}
        for place, element in enumerate(elements):
            decoded = _decode(bytes(element), element_type)
            if is_failure(decoded):
                failures[place] = decoded.reason
        if not failures:
            continue
        parts[name] = msgspec.Raw(
            encode([e for i, e in enumerate(elements) if i not in failures])
        )
        COUNTERS.count("elements_skipped", name)
        place, reason = next(iter(failures.items()))
        log_event(
            "elements_skipped",
            "warning",
            message=message_type.__name__,
            count=len(failures),
            place=f"{name}[{place}]",
            reason=reason,
        )
    return _decode(encode(parts), message_type)
