"""Steps for the revocation of leases by a leading coordinator."""

import asyncio
import types

from behave import given, then

from chivescale.clock import now
from chivescale.coordinator._leases import LeaseManager
from chivescale.coordinator._messages import RevokeAnswer
from chivescale.lease import GRANT_S, Epoch
from chivescale.lease._grantor import HostGrant

LEADER, OTHER, THIRD = "c1:1", "c2:1", "c3:1"
INDEX, TERM = 7, 3


class OtherCoordinators:
    """Client of two coordinators whose grants the leader has passed on.

    Attributes
    ----------
    heard_at : float
        Time in seconds at which the host confirms to one of them.
    passed_until : float
        Time in seconds at which the grants to the leader end.
    third_renews : bool
        Whether the third coordinator renews the grants that it passes on.
    """

    def __init__(
        self, heard_at: float, passed_until: float, third_renews: bool
    ):
        self.heard_at = heard_at
        self.passed_until = passed_until
        self.third_renews = third_renews

    async def call(self, address, method, path, reply_type, body, **options):
        """Answer an order to revoke at once."""
        await asyncio.sleep(0.001)
        heard = address == OTHER and now() >= self.heard_at
        confirmed = ("h1",) if heard else ()
        passed_s = {LEADER: self.passed_until - now()}
        if self.third_renews and address == OTHER:
            passed_s[THIRD] = GRANT_S
        return RevokeAnswer(True, {}, confirmed, passed_s)


def make_host(client) -> types.SimpleNamespace:
    """Return what the leases of a leading coordinator use."""
    log = types.SimpleNamespace(
        term_at=lambda index: TERM, entries_after=lambda index: ()
    )
    members = [
        types.SimpleNamespace(name=a, address=a, incarnation=1, voter=True)
        for a in (LEADER, OTHER, THIRD)
    ]
    configuration = types.SimpleNamespace(members=members)
    machine = types.SimpleNamespace(
        log=log,
        applied=INDEX,
        configuration=configuration,
        formed=True,
        own_member=members[0],
    )
    return types.SimpleNamespace(
        settings=types.SimpleNamespace(address=LEADER, endpoints_fenced=True),
        agreement=types.SimpleNamespace(
            machine=machine, failure=None, configuration=configuration
        ),
        distributor=types.SimpleNamespace(notify_waiters=lambda: None),
        client=client,
    )


@given("a leader whose grants to a host last {seconds:g} s")
def leader(context, seconds):
    context.grant_s = seconds


@given("another coordinator that made none to it and hears it after {ms:d} ms")
def other(context, ms):
    context.heard_after_s = ms / 1000


@given("a third coordinator that passes on grants and votes after {ms:d} ms")
def late_voter(context, ms):
    context.heard_after_s = 0.0
    context.votes_after_s = ms / 1000


@then("the leases are revoked after {least:g} to {most:g} s")
def revoked(context, least, most):
    async def work() -> float:
        started_at = now()
        granted_until = started_at + context.grant_s
        votes_after_s = getattr(context, "votes_after_s", None)
        client = OtherCoordinators(
            started_at + context.heard_after_s,
            granted_until,
            votes_after_s is not None,
        )
        host = make_host(client)
        leases = LeaseManager(host)
        if votes_after_s is not None:
            third = host.agreement.configuration.members[-1]
            third.voter = False
            asyncio.get_running_loop().call_later(
                votes_after_s, setattr, third, "voter", True
            )
        leases.view()
        leases.quorum_changed_at = started_at - 2 * GRANT_S
        leases.grantor.started_at = started_at - 2 * GRANT_S
        leases.learn({"s1": Epoch(INDEX, "", open=False)})
        leases.grantor.hosts["h1"] = HostGrant(granted_until, 0)
        async with asyncio.timeout(5.0):
            await leases.revoke(INDEX)
        return now() - started_at

    taken_s = asyncio.run(work())
    assert least <= taken_s <= most, taken_s
