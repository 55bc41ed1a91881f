"""Identification of callers by their keys."""

import hashlib

from chivescale.catalog._model import Catalog, Route, Workspace
from chivescale.errors import ErrorKind, Failure

# 96 bits; entry hosts hold the digests of all keys.
DIGEST_BYTES = 12


def key_digest(key: bytes) -> bytes:
    """Return the digest by which a key is known to entry hosts.

    Entry hosts, their logs and their messages then contain no key.
    """
    return hashlib.blake2b(key, digest_size=DIGEST_BYTES).digest()


class CallerIndex:
    """Finds the workspace of a caller in one version of the configuration.

    Parameters
    ----------
    catalog : Catalog or None
        Configuration in force.

    Attributes
    ----------
    workspaces : dict of str to Workspace
        Workspaces by name.
    """

    __slots__ = ("by_digest", "identifies", "workspaces")

    def __init__(self, catalog: Catalog | None):
        known = (catalog.workspaces if catalog else None) or ()
        self.identifies = bool(catalog) and catalog.workspaces is not None
        self.workspaces: dict[str, Workspace] = {w.name: w for w in known}
        self.by_digest = {
            digest: workspace.name
            for workspace in known
            for digest in workspace.key_digests
        }

    def identify(self, digest: bytes, route: Route) -> str | Failure:
        """Return the name of the workspace of a caller on a route.

        Parameters
        ----------
        digest : bytes
            Digest of the key that the caller presented.
        route : Route
            Route in force for the caller's database.

        Returns
        -------
        str or Failure
            Empty if callers are not identified, or for an unknown key on a
            public route; ``AUTHENTICATION_FAILED`` for one on another route.
        """
        if not self.identifies:
            return ""
        name = self.by_digest.get(digest)
        if name is not None:
            return name
        if route.public:
            return ""
        reason = "the key belongs to no workspace"
        return Failure(ErrorKind.AUTHENTICATION_FAILED, reason)
