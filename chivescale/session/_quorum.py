"""Quorum size, shared by barriers and confirmations."""


def quorum_of(voters: int) -> int:
    """Return the size of the smallest majority of `voters` voters.

    Examples
    --------
    >>> [quorum_of(n) for n in (1, 2, 3, 4, 5)]
    [1, 2, 2, 3, 3]
    """
    return voters // 2 + 1
