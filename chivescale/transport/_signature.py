"""Message authentication with the secret that all processes share."""

import hashlib
import hmac

SIGNATURE_HEADER = "X-Chivescale-Signature"
DEADLINE_HEADER = "X-Chivescale-Deadline-Ms"


def sign(secret: bytes, method: str, path: str, body: bytes) -> str:
    """Return the hex HMAC-SHA256 of a request.

    Parameters
    ----------
    secret : bytes
        Shared secret.
    method, path : str
        Request line; `path` includes the query.
    body : bytes
        Request body.
    """
    digest = hmac.new(secret, digestmod=hashlib.sha256)
    # The lengths keep one field from running into the next.
    for part in (method.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def verify(
    secret: bytes, method: str, path: str, body: bytes, signature: str
) -> bool:
    """Tell whether `signature` belongs to the request."""
    expected = sign(secret, method, path, body)
    return hmac.compare_digest(expected.encode(), signature.encode())
