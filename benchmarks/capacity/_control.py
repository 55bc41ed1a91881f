"""Processor time of the control leader per message and per change."""

import asyncio
import functools
import time

import msgspec

from benchmarks.capacity import _records as records
from benchmarks.capacity._clock import cpu_us, point
from chivescale import membership
from chivescale.control._leadership import Leadership
from chivescale.limits import LeaseManager
from chivescale.messages import (
    Heartbeat,
    HeartbeatReply,
    Lease,
    RegisterEndpoint,
    RegisterHost,
    Suspicion,
    WatchReply,
    decode,
    encode,
)
from chivescale.settings import (
    ClusterSettings,
    HostSettings,
    ListenSettings,
    Settings,
)

HOSTS = (200, 400, 800, 1600, 3200)
ENDPOINTS = (1500, 3000, 6000, 12000, 24000)
LEASED = (9, 45, 90, 180)
SHARERS = (4, 8, 16, 32)
TODAY_HOSTS = 17


class QuietLeadership(Leadership):
    """A leadership whose effects are dropped instead of executed."""

    def _spawn(self, coroutine) -> None:
        coroutine.close()


def leadership(state) -> QuietLeadership:
    """Return a leadership that has taken over a state."""
    settings = Settings(
        HostSettings("control-1", "zone-1", ("control",)),
        ListenSettings(),
        ClusterSettings("", ()),
    )
    made = QuietLeadership(settings, state, None, None)
    made.state_changed(set(state.services), True, True)
    return made


def beat(number: int, endpoints) -> Heartbeat:
    """Return the heartbeat of a host that holds leases on endpoints."""
    leases = tuple(Lease(name, 2) for name in endpoints)
    return Heartbeat(records.host(number), 1000, leases, leases)


def host_table():
    """Measure heartbeats and ticks against the number of hosts."""
    for count in HOSTS:
        now = time.monotonic()
        table = membership.HostTable(now)
        hosts = [records.host(n) for n in range(count)]
        table.step(membership.HostsApplied(tuple(hosts)), now)
        events = [
            membership.HostHeartbeat(Heartbeat(record, 1)) for record in hosts
        ]
        for event in events:
            table.step(event, now)
        turn = iter(range(1 << 60))

        def one(table=table, events=events, turn=turn, now=now):
            at = next(turn)
            # Time goes on as with one heartbeat a second from each host.
            then = now + 1 + at / len(events)
            table.step(events[at % len(events)], then)

        runs = cpu_us(one)
        yield point("control.host_heartbeat", "hosts", count, "us", runs)
        then = iter(range(1 << 60))

        def tick(table=table, then=then, now=now, events=events):
            at = now + 2 + next(then) * 1e-6
            table.step(membership.Tick(), at)

        table.step(events[0], now + 2)
        runs = cpu_us(tick)
        yield point("control.host_tick", "hosts", count, "us", runs)

        def scan(table=table, now=now):
            table.next_scan_at = now
            table.step(membership.Tick(), now + 2)

        runs = cpu_us(scan)
        yield point("control.host_scan", "hosts", count, "us", runs)


def endpoint_table():
    """Measure announcements and ticks against the endpoints known."""
    for count in ENDPOINTS:
        now = time.monotonic()
        table = membership.EndpointTable(now)
        state = records.cluster(services=count // 3)
        applied = membership.EndpointsApplied(
            tuple(state.endpoints.values()), tuple(state.services.values())
        )
        table.step(applied, now)
        events = [
            membership.EndpointAnnounced(records.status(n))
            for n in range(count)
        ]
        for event in events:
            table._announced(event.status, now)
        turn = iter(range(1 << 60))

        def one(table=table, events=events, turn=turn, now=now):
            at = next(turn)
            then = now + 1 + at / len(events)
            table.step(events[at % len(events)], then)

        runs = cpu_us(one)
        yield point("control.announce", "endpoints", count, "us", runs)

        def tick(table=table, turn=turn, now=now):
            table.step(membership.Tick(), now + 2 + next(turn) * 1e-6)

        runs = cpu_us(tick)
        yield point("control.endpoint_tick", "endpoints", count, "us", runs)
        late = now + 100
        table.heard_at = dict.fromkeys(table.heard_at, late)

        def scan(table=table, late=late):
            table.next_scan_at = late
            table.step(membership.Tick(), late)

        runs = cpu_us(scan)
        yield point("control.endpoint_scan", "endpoints", count, "us", runs)


def leases():
    """Measure the lease book by endpoints leased and by sharing hosts."""
    for count in LEASED:
        names = [records.endpoint(n).endpoint for n in range(count)]
        runs = cpu_us(_lease_beat(names, 6))
        yield point("control.lease", "endpoints", count, "us", runs)
    for sharers in SHARERS:
        names = [records.endpoint(n).endpoint for n in range(9)]
        runs = [run / 9 for run in cpu_us(_lease_beat(names, sharers))]
        yield point("control.lease_sharers", "hosts", sharers, "us", runs)


def _lease_beat(names, sharers: int):
    book = LeaseManager(3.0, started_at=0.0)
    budgets = dict.fromkeys(names, 35)
    held = tuple(Lease(name, 2) for name in names)
    turn = iter(range(1 << 60))

    def one():
        at = next(turn)
        now = 10 + at / sharers
        book.heartbeat(f"entry-{at % sharers}", held, held, budgets, now)

    return one


def heartbeats():
    """Measure a heartbeat of one host among many known endpoints.

    The host uses nine endpoints whatever the state holds.
    """
    for count in (9, 45, 90, 180):
        state = records.cluster(hosts=TODAY_HOSTS, services=count // 3)
        leader = leadership(state)
        leader.leases.started_at -= 10
        all_names = [records.endpoint(n).endpoint for n in range(count)]
        beats = [beat(n, all_names) for n in range(TODAY_HOSTS)]
        runs = cpu_us(_turns(leader.heartbeat, beats))
        yield point("control.heartbeat_all", "endpoints", count, "us", runs)
    for count in ENDPOINTS[:4]:
        state = records.cluster(hosts=TODAY_HOSTS, services=count // 3)
        leader = leadership(state)
        leader.leases = _NoLeases()
        beats = [beat(n, all_names[:9]) for n in range(TODAY_HOSTS)]
        runs = cpu_us(_turns(leader.heartbeat, beats))
        name = "control.heartbeat_without_leases"
        yield point(name, "endpoints", count, "us", runs)


class _NoLeases:
    """Leaves the cost of the leases, measured apart, out of a run."""

    lease_s = 3.0

    def heartbeat(self, host, held, wanted, budgets, now):
        return ()


def _turns(call, arguments):
    turn = iter(range(1 << 60))
    return lambda: call(arguments[next(turn) % len(arguments)])


def suspicions():
    """Measure a suspicion against the number of entry hosts."""
    for count in HOSTS[:4]:
        state = records.cluster(hosts=count, services=10)
        leader = leadership(state)
        message = Suspicion(
            records.host(1).host,
            records.service(1),
            7,
            f"{records.service(1)}-1",
            "silent",
        )
        runs = cpu_us(functools.partial(leader.suspect, message))
        yield point("control.suspicion", "hosts", count, "us", runs)


def watch_replies():
    """Measure a reply with one change, and one with the full state."""
    for count in ENDPOINTS[:4]:
        state = records.cluster(hosts=count // 10, services=count // 3)
        record = msgspec.structs.replace(records.endpoint(5), leaving=True)
        state.apply(state.index + 1, RegisterEndpoint(record))
        after = state.index - 1
        runs = cpu_us(_reply_after(state, after))
        yield point("control.watch_delta", "endpoints", count, "us", runs)
        size = len(encode(state.changes_since(after, True)))
        yield point(
            "control.watch_delta_bytes", "endpoints", count, "B", [size]
        )
        runs = cpu_us(_reply_after(state, 0), 3)
        yield point("control.watch_full", "endpoints", count, "us", runs)
        size = len(encode(state.changes_since(0, True)))
        yield point(
            "control.watch_full_bytes", "endpoints", count, "B", [size]
        )


def _reply_after(state, after: int):
    return lambda: encode(state.changes_since(after, True))


def changes():
    """Measure applying one change on the leader, duties included."""
    for count in ENDPOINTS[:4]:
        state = records.cluster(hosts=400, services=count // 3)
        leader = leadership(state)
        flip = iter(range(1 << 60))

        def change(state=state, leader=leader, flip=flip):
            record = msgspec.structs.replace(
                records.endpoint(5), slots=2 + next(flip) % 2
            )
            data = encode(RegisterEndpoint(record))
            state.apply(state.index + 1, decode(data, RegisterEndpoint))
            leader.state_changed({record.service}, False, True)

        runs = cpu_us(change)
        yield point("control.change", "endpoints", count, "us", runs)
    for count in HOSTS[:4]:
        state = records.cluster(hosts=count, services=100)
        leader = leadership(state)
        flip = iter(range(1 << 60))

        def host_change(state=state, leader=leader, flip=flip):
            record = msgspec.structs.replace(
                records.host(5), incarnation=f"{next(flip):016x}"
            )
            state.apply(state.index + 1, RegisterHost(record))
            leader.state_changed(set(), True, False)

        runs = cpu_us(host_change)
        yield point("control.host_change", "hosts", count, "us", runs)


def messages():
    """Measure encoding and decoding of heartbeats by endpoints named."""
    for count in LEASED:
        names = [records.endpoint(n).endpoint for n in range(count)]
        message = beat(1, names)
        reply = HeartbeatReply(message.held, 3000, 1000)
        body, answer = encode(message), encode(reply)

        def one(body=body, reply=reply):
            decode(body, Heartbeat)
            encode(reply)

        runs = cpu_us(one)
        yield point("control.heartbeat_codec", "endpoints", count, "us", runs)
        size = len(body) + len(answer)
        yield point("control.heartbeat_bytes", "endpoints", count, "B", [size])
    delta = encode(WatchReply(7, True, endpoints=(records.endpoint(5),)))
    runs = cpu_us(lambda: decode(delta, WatchReply))
    yield point("control.delta_decode", "replies", 1, "us", runs)


async def _all():
    return [
        each
        for group in (
            host_table,
            endpoint_table,
            leases,
            heartbeats,
            suspicions,
            watch_replies,
            changes,
            messages,
        )
        for each in group()
    ]


def measure():
    """Return all points; a loop must run because the leadership asks."""
    return asyncio.run(_all())
