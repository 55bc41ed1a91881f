"""Decoding of documents that come from outside of the system."""

import re
import typing

from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.messages._codec import decode

T = typing.TypeVar("T")

# The decoder's own limit depends on how deep the call stack is, so that one
# process would accept what another one refuses.
MAX_DEPTH = 64
# One match ends at the next bracket that is not part of a string, or at the
# end. Possessive quantifiers and a match at every place keep the time linear.
_NEXT_BRACKET = re.compile(
    rb'[^"\[\]{}]*+(?:"(?:[^"\\]++|\\.)*+"?[^"\[\]{}]*+)*+([\[\]{}]?)',
    re.DOTALL,
)


def check_depth(document: bytes) -> Failure | None:
    """Check how deep the arrays and objects of a document are nested.

    The result depends on the bytes only, also for documents that are no JSON.

    Returns
    -------
    Failure or None
        ``BAD_REQUEST`` with the place, or None if the nesting is at most
        `MAX_DEPTH`.
    """
    if document.count(b"[") + document.count(b"{") <= MAX_DEPTH:
        return None
    depth = 0
    for match in _NEXT_BRACKET.finditer(document):
        depth += (match[1] in (b"[", b"{")) - (match[1] in (b"]", b"}"))
        if depth > MAX_DEPTH:
            return Failure(
                ErrorKind.BAD_REQUEST,
                f"byte {match.start(1)}: nested more than {MAX_DEPTH} deep",
            )
    return None


def decode_untrusted(
    document: bytes, message_type: type[T], *, stored: bool = False
) -> T | Failure:
    """Decode a document of a sender outside of the system.

    Parameters
    ----------
    document : bytes
        JSON document.
    message_type : type
        Expected message type.
    stored : bool
        Whether others will read the document itself. The values of fields
        that `message_type` does not have are then checked as well.

    Returns
    -------
    message or Failure
        Decoded message, or ``BAD_REQUEST`` with the place and the reason.
    """
    failure = check_depth(document)
    if failure is not None:
        return failure
    try:
        # The decoder does not check the text of fields that it skips.
        document.decode()
    except UnicodeDecodeError as err:
        reason = f"byte {err.start}: not UTF-8, {err.reason}"
        return Failure(ErrorKind.BAD_REQUEST, reason)
    message = decode(document, message_type)
    if stored and not is_failure(message):
        every_value = decode(document, typing.Any)
        message = every_value if is_failure(every_value) else message
    if is_failure(message):
        return Failure(ErrorKind.BAD_REQUEST, message.reason)
    return message
