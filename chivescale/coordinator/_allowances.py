"""Grants tokens of the workspaces' rate limits to entry hosts."""

import asyncio
import collections.abc

from chivescale.clock import now
from chivescale.errors import is_failure
from chivescale.limits import (
    LONGEST_ISOLATION_S,
    RateLimit,
    RateShares,
    ShareSize,
)
from chivescale.messages import (
    AllowanceAnswer,
    AllowanceRequest,
    LoanAnswer,
    LoanRequest,
)
from chivescale.telemetry import COUNTERS, log_event

# A caller waits for a loan, which takes a round trip to other zones.
LOAN_TIMEOUT_S = 0.1
# Interval between loans for one workspace. In between, callers above the
# share of this coordinator are refused without asking the others.
LOAN_INTERVAL_S = 0.1
# A coordinator that did not answer is not asked for this time.
UNREACHABLE_BACKOFF_S = 3.0
CONFIGURE_INTERVAL_S = 0.25
# Interval at which refusals are logged, and workspaces named in one line.
LOG_INTERVAL_S = 2.0
MAX_LOGGED_WORKSPACES = 8


class AllowanceManager:
    """Answers hosts from the own share and borrows from other coordinators.

    Parameters
    ----------
    host : CoordinatorHost
        Coordinator that owns this object.

    Attributes
    ----------
    shares : RateShares
        Share of this coordinator.
    borrowed_at : dict of str to float
        Time of the last loan by workspace.
    unreachable_until : dict of str to float
        Time until which another coordinator is not asked, by address.
    """

    def __init__(self, host):
        self.host = host
        self.shares = RateShares(host.settings.spare_operations)
        self.size = ShareSize()
        self.borrowed_at: dict[str, float] = {}
        self.unreachable_until: dict[str, float] = {}
        self.refused: dict[str, int] = {}
        self.refusals_logged_at = now()
        self.basis: tuple | None = None

    async def run(self) -> None:
        """Follow the configuration and the members.

        Buckets fill from the moment at which their limit is known, whether or
        not a host asks.
        """
        while True:
            self._configure(now())
            await asyncio.sleep(CONFIGURE_INTERVAL_S)

    def _configure(self, time: float) -> None:
        """Apply the configuration and the members that are known now."""
        host = self.host
        machine = host.agreement.machine
        configuration = machine.configuration if machine else None
        members = 0
        if configuration is not None and machine.formed:
            members = len(configuration.members)
        self.size.update(members, time)
        adds = members > 0 and host.contact_age_s() < LONGEST_ISOLATION_S
        catalog = host.state.catalog.catalog
        basis = (catalog.version if catalog else -1, self.size.shares, adds)
        if basis == self.basis:
            return
        self.basis = basis
        limits = {
            workspace.name: RateLimit(workspace.rate_per_s, workspace.burst)
            for workspace in (catalog.workspaces if catalog else None) or ()
            if workspace.rate_per_s is not None
        }
        self.shares.configure(limits, self.size.shares, adds, time)

    async def on_request(self, request: AllowanceRequest) -> AllowanceAnswer:
        """Grant tokens to an entry host."""
        time = now()
        self._configure(time)
        for name, count in request.spent.items():
            self.shares.deduct(name, count, time)
        granted = {
            name: self.shares.take(name, count, time)
            for name, count in request.needed.items()
        }
        short = {
            name: count - granted[name]
            for name, count in request.needed.items()
            if granted[name] < count
        }
        if short and await self._borrow(short, time):
            time = now()
            for name, count in short.items():
                granted[name] += self.shares.take(name, count, time)
        retry_after_s = {}
        for name, count in request.needed.items():
            if granted[name] < count:
                retry_after_s[name] = self.shares.retry_after_s(name, time)
                self._note_refusal(name, count - granted[name])
        for name, count in request.ahead.items():
            if name not in retry_after_s:
                granted[name] = granted.get(name, 0) + self.shares.take_ahead(
                    name, count, time
                )
        self._log_refusals(time)
        return AllowanceAnswer(granted, retry_after_s)

    def on_loan(self, request: LoanRequest) -> LoanAnswer:
        """Give tokens to another coordinator."""
        time = now()
        self._configure(time)
        lent = {
            name: self.shares.lend(name, count, time)
            for name, count in request.wanted.items()
        }
        return LoanAnswer({n: count for n, count in lent.items() if count > 0})

    async def _borrow(self, short: dict[str, int], time: float) -> bool:
        """Borrow tokens, first in the own zone; return whether any came."""
        names = [
            name
            for name in short
            if time - self.borrowed_at.get(name, -1.0) >= LOAN_INTERVAL_S
        ]
        if not names:
            return False
        self.borrowed_at.update(dict.fromkeys(names, time))
        came = False
        for peers in self._peer_groups(time):
            wanted = {
                name: missing / len(peers)
                for name in names
                if (missing := self.shares.missing(name, short[name], now()))
                > 0
            }
            if not wanted:
                break
            answers = await asyncio.gather(
                *(self._ask(peer, wanted) for peer in peers)
            )
            came = any(answers) or came
        return came

    def _peer_groups(self, time: float) -> list[list[str]]:
        """Return the coordinators of the own zone, then all of them."""
        distributor = self.host.distributor
        peers = [
            address
            for address in distributor.peer_addresses()
            if self.unreachable_until.get(address, 0.0) <= time
        ]
        zone = self.host.settings.zone
        near = [p for p in peers if distributor.zones.get(p) == zone]
        return [group for group in (near, peers) if group]

    async def _ask(
        self, address: str, wanted: collections.abc.Mapping[str, float]
    ) -> bool:
        answer = await self.host.client.call(
            address,
            "POST",
            "/v1/loan",
            LoanAnswer,
            LoanRequest(dict(wanted)),
            timeout_s=LOAN_TIMEOUT_S,
            connect_timeout_s=LOAN_TIMEOUT_S,
        )
        time = now()
        if is_failure(answer):
            self.unreachable_until[address] = time + UNREACHABLE_BACKOFF_S
            return False
        for name, count in answer.lent.items():
            # Never more than asked for, whatever the lender says.
            count = min(count, wanted.get(name, 0.0))
            self.shares.receive(name, count, time)
        return bool(answer.lent)

    def _note_refusal(self, name: str, count: int) -> None:
        self.refused[name] = self.refused.get(name, 0) + count

    def _log_refusals(self, time: float) -> None:
        if not self.refused or time - self.refusals_logged_at < LOG_INTERVAL_S:
            return
        most = sorted(self.refused, key=self.refused.get, reverse=True)
        COUNTERS.count("rate_limit_refusal_reports")
        log_event(
            "rate_limit_refusals",
            workspaces=",".join(
                f"{name}:{self.refused[name]}"
                for name in most[:MAX_LOGGED_WORKSPACES]
            ),
            count=len(most),
            shares=self.shares.members,
        )
        self.refused.clear()
        self.refusals_logged_at = time
