"""JSON encoding and decoding of messages with validation."""

import typing

import msgspec

from chivescale.errors import ErrorKind, Failure

T = typing.TypeVar("T")

_encoder = msgspec.json.Encoder()
_decoders: dict[typing.Any, msgspec.json.Decoder] = {}


def encode(message: object) -> bytes:
    """Encode a message as JSON."""
    return _encoder.encode(message)


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
        field.
    """
    decoder = _decoders.get(message_type)
    if decoder is None:
        decoder = msgspec.json.Decoder(message_type)
        _decoders[message_type] = decoder
    try:
        return decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as err:
        return Failure(ErrorKind.MESSAGE_INVALID, str(err))
