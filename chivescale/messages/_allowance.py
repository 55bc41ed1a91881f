"""Messages about the rate limits of workspaces."""

import typing

import msgspec

Tokens = typing.Annotated[int, msgspec.Meta(ge=0, le=2**31 - 1)]
TokenAmount = typing.Annotated[float, msgspec.Meta(ge=0, le=2**31 - 1)]


class AllowanceRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """Request of an entry host for tokens, by workspace.

    Attributes
    ----------
    needed : dict of str to int
        Operations that wait.
    ahead : dict of str to int
        Operations expected soon.
    spent : dict of str to int
        Attempts that have run without a token.
    """

    needed: dict[str, Tokens]
    ahead: dict[str, Tokens] = {}
    spent: dict[str, Tokens] = {}


class AllowanceAnswer(msgspec.Struct, frozen=True, omit_defaults=True):
    """Tokens for an entry host, by workspace.

    Attributes
    ----------
    granted : dict of str to int
        Tokens for operations that wait or are expected.
    retry_after_s : dict of str to float
        For workspaces that got fewer than needed: when to ask again.
    """

    granted: dict[str, Tokens] = {}
    retry_after_s: dict[str, TokenAmount] = {}


class LoanRequest(msgspec.Struct, frozen=True):
    """Request of a coordinator to another one for tokens, by workspace."""

    wanted: dict[str, TokenAmount]


class LoanAnswer(msgspec.Struct, frozen=True, omit_defaults=True):
    """Tokens that the lender has removed from its share, by workspace."""

    lent: dict[str, TokenAmount] = {}
