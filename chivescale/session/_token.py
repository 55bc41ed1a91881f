"""Session tokens and their text representation."""

import re
import zlib

import msgspec

from chivescale.errors import ErrorKind, Failure
from chivescale.messages import Position

MAX_TOKEN_LENGTH = 200
# The number of digits is limited to bound the cost of int() on malicious
# input; 2**63 has 19 digits.
_TOKEN_PATTERN = re.compile(
    r"(?P<body>c1\.(?P<service>[^.\s]{1,128})"
    r"\.(?P<term>[0-9]{1,19})\.(?P<position>[0-9]{1,19}))"
    r"\.(?P<checksum>[0-9a-f]{8})",
    re.ASCII,
)


class Token(msgspec.Struct, frozen=True):
    """Position of a session's last confirmed write or read.

    Attributes
    ----------
    service : str
        Service that the position belongs to.
    position : Position
        Term and log position that the next read must include.
    """

    service: str
    position: Position


def format_token(token: Token) -> str:
    """Return the text of `token`; dots in the service name are escaped.

    Examples
    --------
    >>> format_token(Token("ledger", Position(3, 17)))
    'c1.ledger.3.17.f3719d4d'
    """
    service = token.service.replace("%", "%25").replace(".", "%2E")
    position = token.position
    body = f"c1.{service}.{position.term}.{position.position}"
    return f"{body}.{_checksum(body)}"


def parse_token(text: str, service: str = "") -> Token | Failure:
    """Parse and validate a token that a caller sent.

    Parameters
    ----------
    text : str
        Text produced by `format_token`.
    service : str, optional
        Service of the connection. Positions of different services are not
        comparable, so a token of another service is rejected.

    Returns
    -------
    Token or Failure
        The token, or ``BAD_REQUEST`` if it is malformed or belongs to
        another service.
    """
    if len(text) > MAX_TOKEN_LENGTH:
        return _bad_request("chivescale_token is too long")
    match = _TOKEN_PATTERN.fullmatch(text)
    if match is None:
        return _bad_request("chivescale_token is malformed")
    if _checksum(match["body"]) != match["checksum"]:
        return _bad_request("chivescale_token has a wrong checksum")
    name = match["service"].replace("%2E", ".").replace("%25", "%")
    if service and name != service:
        return _bad_request(f"chivescale_token belongs to service {name}")
    return Token(name, Position(int(match["term"]), int(match["position"])))


def _checksum(body: str) -> str:
    return f"{zlib.crc32(body.encode()):08x}"


def _bad_request(reason: str) -> Failure:
    return Failure(ErrorKind.BAD_REQUEST, reason)
