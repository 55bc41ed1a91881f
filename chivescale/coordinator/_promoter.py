"""Watches primaries and replaces them, while this host leads."""

import asyncio

import msgspec

from chivescale.clock import now
from chivescale.dialect import EndpointDialect, EndpointState
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.link import Link, open_link
from chivescale.messages import OpinionReport
from chivescale.promotion import (
    Candidate,
    OrderOutcome,
    PrimaryDetector,
    PromotionAuthority,
    Verdict,
    choose_successor,
)
from chivescale.registry import EndpointEntry
from chivescale.telemetry import log_event

# Between two probes of a primary.
PROBE_PERIOD_S = 0.2
# A probe without an answer for this long counts as failed.
PROBE_TIMEOUT_S = 0.3
TICK_S = 0.05
# Replicas report their positions within this time or are passed over.
STATE_TIMEOUT_S = 0.3
# An endpoint that was ordered to lead does so within this time, or the order
# is repeated.
TAKEOVER_TIMEOUT_S = 3.0
TAKEOVER_POLL_S = 0.05
RETRY_PAUSE_S = 0.2
# Endpoints report every 1.2 s; one that leads has been heard after three.
NO_CLAIM_S = 4.0


class Watched(msgspec.Struct):
    """The primary of one service and the replacement under way."""

    service: str
    endpoint: str
    born_ms: int
    detector: PrimaryDetector
    prober: asyncio.Task | None = None
    replacement: asyncio.Task | None = None


class Promoter:
    """Replaces primaries that are gone or leaving.

    Parameters
    ----------
    host : CoordinatorHost
        Owner.
    dialect : EndpointDialect
        How endpoints are spoken to.
    authority : PromotionAuthority
        Carries out promotions.
    """

    def __init__(self, host, dialect: EndpointDialect, authority):
        self.host = host
        self.dialect = dialect
        self.authority: PromotionAuthority = authority
        self.watched: dict[str, Watched] = {}
        self.links: dict[str, Link] = {}
        self.unclaimed_since: dict[str, float] = {}
        self.task: asyncio.Task | None = None

    def begin(self) -> None:
        """Start with an empty view; this host leads now."""
        self.end()
        log_event("promoter_began", host=self.host.settings.name)
        self.task = asyncio.ensure_future(self._run())

    def end(self) -> None:
        """Stop every probe and replacement."""
        if self.task is not None:
            self.task.cancel()
            self.task = None
            log_event("promoter_ended", host=self.host.settings.name)
        for watched in self.watched.values():
            _cancel(watched)
        self.watched.clear()
        for link in self.links.values():
            link.close()
        self.links.clear()
        self.unclaimed_since.clear()
        self.host.spread.share_suspects(())

    def note_opinions(self, report: OpinionReport) -> None:
        """Take over whether an entry host reaches suspected endpoints."""
        for watched in self.watched.values():
            reachable = report.reachable.get(watched.endpoint)
            if reachable is not None:
                watched.detector.record_opinion(report.host, reachable, now())

    async def _run(self) -> None:
        while True:
            try:
                self._tick()
            except Exception as err:
                log_event("promoter_failed", "error", error=repr(err))
            await asyncio.sleep(TICK_S)

    def _tick(self) -> None:
        services = self._services()
        for service in set(self.watched) - set(services):
            _cancel(self.watched.pop(service))
        suspects = []
        for service in services:
            watched = self._watch(service)
            if watched is None:
                continue
            verdict = watched.detector.evaluate(now())
            if verdict is not Verdict.ALIVE:
                suspects.append(watched.endpoint)
            if watched.replacement is None and self._must_go(watched, verdict):
                watched.replacement = asyncio.ensure_future(
                    self._replace(watched, verdict is Verdict.DEAD)
                )
        self.host.spread.share_suspects(tuple(sorted(suspects)))

    def _services(self) -> list[str]:
        catalog = self.host.state.catalog.catalog
        return [s.name for s in catalog.services] if catalog else []

    def _watch(self, service: str) -> Watched | None:
        """Return the primary of a service; begin to watch a new one."""
        watched = self.watched.get(service)
        if watched is not None and watched.replacement is not None:
            return watched
        entry = self._primary(service)
        if entry is not None:
            self.unclaimed_since.pop(service, None)
        if entry is None:
            return watched or self._watch_none(service)
        beat = entry.heartbeat
        if watched is None or (watched.endpoint, watched.born_ms) != (
            beat.endpoint,
            beat.born_ms,
        ):
            if watched is not None:
                _cancel(watched)
            watched = Watched(
                service, beat.endpoint, beat.born_ms, PrimaryDetector(now())
            )
            watched.prober = asyncio.ensure_future(self._probe(watched))
            self.watched[service] = watched
            log_event(
                "primary_watched", service=service, endpoint=beat.endpoint
            )
        return watched

    def _watch_none(self, service: str) -> Watched | None:
        """Replace a primary that nobody has seen.

        It may have ended while no coordinator was up to hear of it.
        """
        if not self.host.registry.service_endpoints(service):
            return None
        time = now()
        since = self.unclaimed_since.setdefault(service, time)
        if time - since < NO_CLAIM_S:
            return None
        del self.unclaimed_since[service]
        log_event("no_primary_claims", "warning", service=service)
        watched = Watched(service, "", 0, PrimaryDetector(time))
        self.watched[service] = watched
        return watched

    def _primary(self, service: str) -> EndpointEntry | None:
        """Return the endpoint that called itself primary last."""
        claims = [
            entry
            for entry in self.host.registry.service_endpoints(service)
            if entry.primary_since
        ]
        return max(claims, key=lambda entry: entry.primary_since, default=None)

    def _must_go(self, watched: Watched, verdict: Verdict) -> bool:
        entry = self.host.registry.entries.get(watched.endpoint)
        if entry is None or entry.heartbeat.gone:
            return True
        return verdict is Verdict.DEAD or entry.heartbeat.draining

    # Probes.

    async def _link(self, endpoint: str) -> Link | Failure:
        """Return an open link to an endpoint."""
        link = self.links.get(endpoint)
        if link is not None and link.usable:
            return link
        entry = self.host.registry.entries.get(endpoint)
        if entry is None:
            return Failure(ErrorKind.UNREACHABLE, "endpoint is not known")
        opened = await open_link(
            self.dialect,
            entry.heartbeat.address,
            entry.heartbeat.service,
            endpoint,
            PROBE_TIMEOUT_S,
        )
        if is_failure(opened):
            return opened
        self.links[endpoint] = opened
        return opened

    async def _probe(self, watched: Watched) -> None:
        """Ask the primary at intervals whether it leads.

        Beginning a transaction takes no slot, so a busy endpoint answers
        too.
        """
        if self._sync_replicas(watched.service):
            await self._resume(watched)
        while True:
            sent_at = now()
            outcome = await self._lead_check(watched.endpoint)
            if not is_failure(outcome):
                watched.detector.record_answer(sent_at)
            elif outcome.kind is ErrorKind.CONNECTION_REFUSED:
                watched.detector.record_failure(True, now())
            else:
                watched.detector.record_failure(False, now())
            pause = PROBE_PERIOD_S
            if is_failure(outcome):
                log_event(
                    "probe_failed",
                    service=watched.service,
                    endpoint=watched.endpoint,
                    reason=outcome.reason,
                )
                pause /= 2
            await asyncio.sleep(pause)

    async def _lead_check(self, endpoint: str) -> bool | Failure:
        """Begin and roll back a transaction; tell whether it leads."""
        link = await self._link(endpoint)
        if is_failure(link):
            return link
        begin = self.dialect.begin_text(read_only=False, after=None)
        messages = self.dialect.query("", begin)
        messages += self.dialect.query("", self.dialect.rollback_text())
        replies = await link.exchange(messages, 2, PROBE_TIMEOUT_S)
        if is_failure(replies):
            return replies
        return replies[0].refusal is None

    # Replacement.

    async def _replace(self, watched: Watched, dead: bool) -> None:
        """Order promotions until another endpoint leads."""
        started = now()
        try:
            while not await self._replace_once(watched, dead):
                await asyncio.sleep(RETRY_PAUSE_S)
            log_event(
                "primary_replaced",
                service=watched.service,
                former=watched.endpoint,
                dead=dead,
                duration_s=now() - started,
            )
        except Exception as err:
            log_event(
                "replacement_failed",
                "error",
                service=watched.service,
                error=repr(err),
            )
        finally:
            if watched.prober is not None:
                watched.prober.cancel()
            if self.watched.get(watched.service) is watched:
                del self.watched[watched.service]

    async def _replace_once(self, watched: Watched, dead: bool) -> bool:
        service = watched.service
        current = self._primary(service)
        if current is not None and (
            (current.heartbeat.endpoint, current.heartbeat.born_ms)
            != (watched.endpoint, watched.born_ms)
        ):
            return True
        target = await self._choose(watched, dead)
        if is_failure(target):
            log_event(
                "no_successor",
                "warning",
                service=service,
                reason=target.reason,
            )
            return False
        token = await self.host.reserve_token(service, target)
        if is_failure(token):
            log_event("no_token", "warning", reason=token.reason)
            return False
        outcome = await self.authority.promote(
            service, target, self.host.settings.name, token
        )
        log_event(
            "promotion_ordered",
            service=service,
            former=watched.endpoint,
            successor=target,
            token=token,
            outcome=outcome.name.lower(),
        )
        if outcome is not OrderOutcome.ACCEPTED:
            return False
        if not dead:
            await self._demote(watched)
        return await self._await_lead(target)

    async def _choose(self, watched: Watched, dead: bool) -> str | Failure:
        """Return the successor.

        Where commits are acknowledged by replicas, a primary that this host
        has lost may still commit. So the replicas stop receiving before
        their positions count; at a hand-over all but the successor do.
        """
        entries = self._replicas(watched)
        sync_replicas = self._sync_replicas(watched.service)
        ask = self.dialect.state_text()
        if sync_replicas and dead:
            term = await self._newest_term(entries)
            ask = self.dialect.pause_text(term + 1)
        states = await asyncio.gather(
            *(self._state(entry.heartbeat.endpoint, ask) for entry in entries)
        )
        candidates = [
            Candidate(
                entry.heartbeat.endpoint,
                state.received if state is not None else None,
                entry.heartbeat.draining,
            )
            for entry, state in zip(entries, states, strict=True)
        ]
        target = choose_successor(candidates, sync_replicas)
        if sync_replicas and not dead and not is_failure(target):
            term = max(s.term for s in states if s is not None)
            pause = self.dialect.pause_text(term + 1)
            others = [v for v in entries if v.heartbeat.endpoint != target]
            await asyncio.gather(
                *(
                    self._state(entry.heartbeat.endpoint, pause)
                    for entry in others
                )
            )
        return target

    def _replicas(self, watched: Watched) -> list[EndpointEntry]:
        return [
            entry
            for entry in self.host.registry.service_endpoints(watched.service)
            if entry.heartbeat.endpoint != watched.endpoint
        ]

    async def _newest_term(self, entries: list[EndpointEntry]) -> int:
        """Return the newest term that a replica knows."""
        text = self.dialect.state_text()
        states = await asyncio.gather(
            *(self._state(entry.heartbeat.endpoint, text) for entry in entries)
        )
        return max((s.term for s in states if s is not None), default=0)

    async def _resume(self, watched: Watched) -> None:
        """End pauses that a former leader has left behind."""
        text = self.dialect.resume_text()
        await asyncio.gather(
            *(
                self._state(entry.heartbeat.endpoint, text)
                for entry in self._replicas(watched)
            )
        )
        log_event("replicas_resumed", service=watched.service)

    def _sync_replicas(self, service: str) -> int:
        catalog = self.host.state.catalog.catalog
        for options in catalog.services if catalog else ():
            if options.name == service:
                return options.sync_replicas
        return 0

    async def _state(self, endpoint: str, text: str) -> EndpointState | None:
        """Send a statement that is answered with the endpoint's state."""
        link = await self._link(endpoint)
        if is_failure(link):
            return None
        reply = await link.statement(text, STATE_TIMEOUT_S)
        state = (
            reply if is_failure(reply) else self.dialect.decode_state(reply)
        )
        if is_failure(state):
            log_event("state_unknown", endpoint=endpoint, reason=state.reason)
            return None
        return state

    async def _demote(self, watched: Watched) -> None:
        """Stop a leaving primary, so that its last commits reach replicas."""
        state = await self._state(watched.endpoint, self.dialect.state_text())
        link = self.links.get(watched.endpoint)
        if state is None or link is None:
            return
        text = self.dialect.demote_text(state.term + 1)
        reply = await link.statement(text, STATE_TIMEOUT_S)
        refusal = None if is_failure(reply) else reply.refusal
        log_event(
            "primary_demoted",
            service=watched.service,
            endpoint=watched.endpoint,
            term=state.term,
            outcome=(
                reply.reason
                if is_failure(reply)
                else refusal.detail
                if refusal
                else "done"
            ),
        )

    async def _await_lead(self, endpoint: str) -> bool:
        """Wait until the successor accepts transactions."""
        deadline = now() + TAKEOVER_TIMEOUT_S
        while now() < deadline:
            outcome = await self._lead_check(endpoint)
            if outcome is True:
                return True
            await asyncio.sleep(TAKEOVER_POLL_S)
        return False


def _cancel(watched: Watched) -> None:
    for task in (watched.prober, watched.replacement):
        if task is not None:
            task.cancel()
