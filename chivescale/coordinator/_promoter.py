"""Monitors and replaces primaries while this host leads."""

import asyncio
import functools
import math

import msgspec

from chivescale.clock import now
from chivescale.coordinator._departures import Departures
from chivescale.coordinator._guarded import replace_guarded
from chivescale.dialect import EndpointDialect, EndpointState
from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.link import Link, open_link
from chivescale.messages import ReachabilityReport
from chivescale.promotion import (
    Candidate,
    OrderOutcome,
    PrimaryDetector,
    PromotionAuthority,
    Verdict,
    choose_successor,
)
from chivescale.registry import EndpointEntry
from chivescale.supervision import run_supervised
from chivescale.telemetry import log_event

# Interval between probes of a primary; halved after a failure.
PROBE_INTERVAL_S = 0.2
# A probe that is not answered within this time has failed.
PROBE_TIMEOUT_S = 0.3
TICK_S = 0.05
# Replicas that do not report their positions within this time are skipped.
STATE_TIMEOUT_S = 0.3
# Time for a promoted endpoint to accept transactions before the promotion is
# ordered again.
TAKEOVER_TIMEOUT_S = 3.0
TAKEOVER_POLL_S = 0.05
RETRY_DELAY_S = 0.2
# Interval at which replicas that have to acknowledge commits are told to
# receive. A pause may be carried out 12 s after it was ordered, or be ordered
# by a coordinator that was suspended.
RESUME_INTERVAL_S = 2.0
# Time for a quorum to confirm that this host still leads.
CONFIRM_TIMEOUT_S = 0.5
# Endpoints send heartbeats every 1.2 s, so a primary is known after three.
NO_PRIMARY_TIMEOUT_S = 4.0
# Interval at which a former primary that still claims to be primary is told.
DEMOTION_INTERVAL_S = 1.0
# In a handover, entry hosts have this long to finish their writes on the
# former primary before it is demoted.
HANDOVER_WAIT_S = 0.5
# Time for the successor in a handover to receive the last commits.
CATCH_UP_TIMEOUT_S = 0.3
CATCH_UP_POLL_S = 0.02


class WatchedPrimary(msgspec.Struct):
    """The primary of a service, its detector and its replacement task.

    Attributes
    ----------
    not_primary_since : float or None
        When the endpoint answered that it is not the primary; None if it has
        answered as the primary since.
    order_unanswered : bool
        Whether an order got no answer and may be executed later.
    resumed : bool
        Whether the replicas have been told to receive.
    """

    service: str
    endpoint: str
    born_ms: int
    detector: PrimaryDetector
    prober: asyncio.Task | None = None
    replacement: asyncio.Task | None = None
    not_primary_since: float | None = None
    order_unanswered: bool = False
    resumed: bool = False


class Promoter:
    """Replaces primaries that failed, terminated or are draining.

    Parameters
    ----------
    host : CoordinatorHost
        Coordinator that owns this object.
    dialect : EndpointDialect
        Protocol of the endpoints.
    authority : PromotionAuthority
        System that performs promotions.

    Attributes
    ----------
    ordered : dict of str to set of str
        Endpoints of each guarded service whose promotion this host has
        ordered since the service was written to.
    """

    def __init__(self, host, dialect: EndpointDialect, authority):
        self.host = host
        self.dialect = dialect
        self.authority: PromotionAuthority = authority
        self.watched: dict[str, WatchedPrimary] = {}
        self.links: dict[str, Link] = {}
        self.no_primary_since: dict[str, float] = {}
        self.demoted_at: dict[str, float] = {}
        self.ordered: dict[str, set[str]] = {}
        self.departures = Departures(self)
        self.task: asyncio.Task | None = None

    def begin(self) -> None:
        """Start without earlier observations when this host becomes leader."""
        self.end()
        self.departures.begin()
        log_event("promoter_began", host=self.host.settings.name)
        self.task = asyncio.ensure_future(
            run_supervised("promoter", self._run, TICK_S)
        )

    def end(self) -> None:
        """Cancel all probes and replacements."""
        if self.task is not None:
            self.task.cancel()
            self.task = None
            log_event("promoter_ended", host=self.host.settings.name)
        for watched in self.watched.values():
            _cancel_tasks(watched)
        self.watched.clear()
        for link in self.links.values():
            link.close()
        self.links.clear()
        self.no_primary_since.clear()
        self.ordered.clear()
        self.departures.end()
        self.host.distributor.share_suspects(())

    def record_opinions(self, report: ReachabilityReport) -> None:
        """Record whether an entry host reaches the suspected endpoints."""
        for watched in self.watched.values():
            reachable = report.reachable.get(watched.endpoint)
            if reachable is not None:
                watched.detector.record_opinion(report.host, reachable, now())

    async def _run(self) -> None:
        while True:
            self._tick()
            await asyncio.sleep(TICK_S)

    def _tick(self) -> None:
        services = self._service_names()
        for service in set(self.watched) - set(services):
            _cancel_tasks(self.watched.pop(service))
        suspects = []
        guarded = set(filter(self.host.leases.guards, services))
        for service in services:
            self._demote_former_primaries(service)
            watched = self._watch_primary(service)
            if watched is None:
                continue
            verdict = watched.detector.evaluate(now())
            if verdict is not Verdict.ALIVE:
                suspects.append(watched.endpoint)
            if verdict is Verdict.ALIVE and service in guarded:
                self.departures.check(service, watched.endpoint)
            if watched.replacement is None and self._needs_replacement(
                watched, verdict
            ):
                watched.replacement = asyncio.ensure_future(
                    self._replace(watched, verdict is Verdict.DEAD)
                )
        if services:
            self.departures.share(guarded)
        self.host.distributor.share_suspects(tuple(sorted(suspects)))

    def _demote_former_primaries(self, service: str) -> None:
        """Demote endpoints that have not noticed that they were replaced.

        One that everybody had lost when its successor was promoted serves on
        when it is reachable again.
        """
        watched = self.watched.get(service)
        if watched is not None and watched.replacement is not None:
            return
        claimants = self._primary_claimants(service)
        if not self.host.leases.enabled:
            if len(claimants) > 1 and self._demotion_due(service):
                self.host.run_in_background(
                    self._demote_superseded(service, claimants)
                )
            return
        epoch = self.host.leases.epoch(service)
        for name in claimants if epoch.index and epoch.open else ():
            if name != epoch.endpoint and self._demotion_due(name):
                self.host.run_in_background(self.demote(service, name))

    def _primary_claimants(self, service: str) -> list[str]:
        """Return the endpoints that report to be the primary."""
        return [
            entry.heartbeat.endpoint
            for entry in self.host.registry.service_endpoints(service)
            if entry.primary_since
        ]

    def _demotion_due(self, name: str) -> bool:
        """Return whether demotions may be sent again, and record that."""
        time = now()
        due = time - self.demoted_at.get(name, -math.inf) >= (
            DEMOTION_INTERVAL_S
        )
        if due:
            self.demoted_at[name] = time
        return due

    async def _demote_superseded(
        self, service: str, claimants: list[str]
    ) -> None:
        """Demote the primaries of lower terms than the newest one.

        A promotion in the log does not show that another endpoint leads: its
        order may not have been executed, or its endpoint may have restarted
        under another identifier. Only an endpoint that itself reports to lead
        a higher term does. Its term is sent, so that an endpoint that was
        promoted meanwhile ignores the order.
        """
        text = self.dialect.state_text()
        states = await asyncio.gather(
            *(self.query_state(name, text) for name in claimants)
        )
        terms = {
            name: state.term
            for name, state in zip(claimants, states, strict=True)
            if state is not None and state.primary
        }
        newest = max(terms.values(), default=0)
        for name, term in terms.items():
            if term < newest:
                await self._send_demotion(service, name, newest)

    def _service_names(self) -> list[str]:
        catalog = self.host.state.catalog.catalog
        return [s.name for s in catalog.services] if catalog else []

    def _watch_primary(self, service: str) -> WatchedPrimary | None:
        """Return the watched primary of a service, a new one if it changed."""
        watched = self.watched.get(service)
        if watched is not None and watched.replacement is not None:
            return watched
        entry = self._find_primary(service)
        if entry is not None:
            self.no_primary_since.pop(service, None)
        if entry is None:
            return watched or self._watch_missing_primary(service)
        heartbeat = entry.heartbeat
        if watched is None or (watched.endpoint, watched.born_ms) != (
            heartbeat.endpoint,
            heartbeat.born_ms,
        ):
            if watched is not None:
                _cancel_tasks(watched)
            watched = WatchedPrimary(
                service,
                heartbeat.endpoint,
                heartbeat.born_ms,
                PrimaryDetector(now()),
            )
            watched.prober = asyncio.ensure_future(
                run_supervised(
                    "prober", functools.partial(self._probe_primary, watched)
                )
            )
            self.watched[service] = watched
            log_event(
                "primary_watched", service=service, endpoint=heartbeat.endpoint
            )
        return watched

    def _watch_missing_primary(self, service: str) -> WatchedPrimary | None:
        """Replace the primary of a service in which no endpoint is primary.

        It may have terminated while no coordinator was running.
        """
        if not self.host.registry.service_endpoints(service):
            return None
        time = now()
        since = self.no_primary_since.setdefault(service, time)
        if time - since < NO_PRIMARY_TIMEOUT_S:
            return None
        del self.no_primary_since[service]
        log_event("no_primary_claims", "warning", service=service)
        watched = WatchedPrimary(service, "", 0, PrimaryDetector(time))
        self.watched[service] = watched
        return watched

    def _find_primary(self, service: str) -> EndpointEntry | None:
        """Return the endpoint that became primary most recently.

        A former primary that does not know of its successor still claims to
        be primary. Where that can happen, the log decides. It also does where
        entry hosts write only to the endpoint that the log names.
        """
        leases, epoch = self.host.leases, self.host.leases.epoch(service)
        log_decides = leases.enabled or leases.guards(service)
        if log_decides and epoch.index and epoch.open:
            entry = self.host.registry.entries.get(epoch.endpoint)
            known = entry is not None and not entry.heartbeat.gone
            if known or leases.enabled:
                return entry if known else None
        primaries = [
            entry
            for entry in self.host.registry.service_endpoints(service)
            if entry.primary_since
        ]
        return max(
            primaries, key=lambda entry: entry.primary_since, default=None
        )

    def _needs_replacement(
        self, watched: WatchedPrimary, verdict: Verdict
    ) -> bool:
        entry = self.host.registry.entries.get(watched.endpoint)
        if entry is None or entry.heartbeat.gone:
            return True
        if self._is_closed_to_writes(watched):
            return True
        since = watched.not_primary_since
        if since is not None and now() - since > TAKEOVER_TIMEOUT_S:
            # Nobody else claims to be the primary either, or the log names
            # an endpoint whose promotion was perhaps never ordered.
            return True
        return verdict is Verdict.DEAD or entry.heartbeat.draining

    def _is_closed_to_writes(self, watched: WatchedPrimary) -> bool:
        """Return whether entry hosts may not write to the watched primary.

        A replacement that began under an earlier leader is to be finished, or
        the primary has another identifier than the log names.
        """
        epoch = self.host.leases.epoch(watched.service)
        if not epoch.index or not self.host.leases.guards(watched.service):
            return False
        return not epoch.open or epoch.endpoint != watched.endpoint

    # Probes.

    async def _open_link(self, endpoint: str) -> Link | Failure:
        """Return an open link to an endpoint."""
        link = self.links.get(endpoint)
        if link is not None and link.usable:
            return link
        entry = self.host.registry.entries.get(endpoint)
        if entry is None:
            return Failure(ErrorKind.UNREACHABLE, "endpoint is not registered")
        opened = await open_link(
            self.dialect,
            entry.heartbeat.address,
            entry.heartbeat.service,
            endpoint,
            PROBE_TIMEOUT_S,
        )
        if is_failure(opened):
            return opened
        link = self.links.get(endpoint)
        if link is not None and link.usable:
            # Another task has opened one meanwhile.
            opened.close()
            return link
        self.links[endpoint] = opened
        return opened

    async def _probe_primary(self, watched: WatchedPrimary) -> None:
        """Check at intervals whether the endpoint is still primary.

        The probe begins a transaction, which takes no slot, so that busy
        endpoints answer as well.
        """
        resume_at = now()
        while True:
            if (
                self.host.leases.guards(watched.service)
                and now() >= resume_at
                # An order without an answer would delay a replacement.
                and watched.detector.suspected_at is None
                and not self._is_closed_to_writes(watched)
            ):
                self.host.run_in_background(self.resume_replicas(watched))
                resume_at = now() + RESUME_INTERVAL_S
            sent_at = now()
            outcome = await self.check_primary(watched.endpoint)
            if not is_failure(outcome):
                watched.detector.record_answer(sent_at)
            elif outcome.kind is ErrorKind.CONNECTION_REFUSED:
                watched.detector.record_failure(True, now())
            else:
                watched.detector.record_failure(False, now())
            if outcome is True:
                watched.not_primary_since = None
            elif outcome is False:
                watched.not_primary_since = watched.not_primary_since or now()
            pause = PROBE_INTERVAL_S
            if is_failure(outcome):
                log_event(
                    "probe_failed",
                    service=watched.service,
                    endpoint=watched.endpoint,
                    reason=outcome.reason,
                )
                pause /= 2
            await asyncio.sleep(pause)

    async def check_primary(self, endpoint: str) -> bool | Failure:
        """Begin and roll back a transaction; tell whether it was accepted."""
        link = await self._open_link(endpoint)
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

    async def _replace(self, watched: WatchedPrimary, dead: bool) -> None:
        """Order promotions until another endpoint is primary."""
        started = now()
        try:
            while not await self._replace_once(watched, dead):
                await asyncio.sleep(RETRY_DELAY_S)
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

    async def _replace_once(self, watched: WatchedPrimary, dead: bool) -> bool:
        service = watched.service
        if self.host.leases.guards(service):
            return await replace_guarded(self, watched, dead)
        confirmed = ""
        if dead and watched.order_unanswered and not self.host.leases.enabled:
            confirmed = await self._leading_endpoint(watched)
        if not confirmed and await self.is_replaced(watched):
            return True
        new_primary = confirmed or await self._choose_successor(watched)
        if is_failure(new_primary):
            log_event(
                "no_successor",
                "warning",
                service=service,
                reason=new_primary.reason,
            )
            return False
        token = await self.host.reserve_fencing_token(
            service, new_primary, not dead
        )
        if is_failure(token):
            log_event("no_token", "warning", reason=token.reason)
            return False
        if self.host.leases.enabled:
            await self.end_epoch(watched, token, dead)
            if not dead:
                await self._await_catch_up(watched.endpoint, new_primary)
            if not await self.is_latest_order(service, token):
                return False
        outcome = await self.authority.promote(
            service, new_primary, self.host.settings.name, token
        )
        log_event(
            "promotion_ordered",
            service=service,
            former=watched.endpoint,
            successor=new_primary,
            token=token,
            outcome=outcome.name.lower(),
        )
        if outcome is not OrderOutcome.ACCEPTED:
            watched.order_unanswered |= outcome is OrderOutcome.UNKNOWN
            return False
        # Orders with lower tokens are rejected from now on.
        watched.order_unanswered = False
        former_may_lead = not dead or self.host.leases.enabled
        if former_may_lead and new_primary != watched.endpoint:
            demotion = self._demote_primary(watched)
            _, taken_over = await asyncio.gather(
                demotion, self.await_takeover(new_primary)
            )
            return taken_over
        return await self.await_takeover(new_primary)

    async def is_replaced(self, watched: WatchedPrimary) -> bool:
        """Return whether another endpoint is the primary of the service."""
        current = self._find_primary(watched.service)
        if current is None:
            return False
        heartbeat = current.heartbeat
        changed = (heartbeat.endpoint, heartbeat.born_ms) != (
            watched.endpoint,
            watched.born_ms,
        )
        if changed and self.host.leases.enabled:
            # Its promotion was agreed on but may not have happened.
            return await self.check_primary(heartbeat.endpoint) is True
        return changed

    async def _leading_endpoint(self, watched: WatchedPrimary) -> str:
        """Return the endpoint that leads after an order without an answer.

        It may be the former primary that answers again. Ordering its
        promotion changes nothing, but the earlier order is rejected from
        then on: executed later, it would discard what the primary has
        committed since.

        Returns
        -------
        str
            Identifier of the endpoint; empty if none answers as the primary.
        """
        current = self._find_primary(watched.service)
        if current is None:
            return ""
        name = current.heartbeat.endpoint
        return name if await self.check_primary(name) is True else ""

    async def is_latest_order(self, service: str, token: int) -> bool:
        """Return whether no later promotion of the service was agreed on.

        Nobody checks the token of an order where endpoints are not fenced. A
        leader that was suspended meanwhile must not send it any more.
        """
        confirmed = await self.host.agreement.confirm_read(
            now() + CONFIRM_TIMEOUT_S
        )
        latest = self.host.leases.epoch(service).index
        if is_failure(confirmed) or latest != token:
            log_event(
                "promotion_withdrawn",
                "warning",
                service=service,
                token=token,
                latest=latest,
                reason=confirmed.reason if is_failure(confirmed) else "",
            )
            return False
        return True

    async def end_epoch(
        self, watched: WatchedPrimary, index: int, dead: bool
    ) -> None:
        """Return when no write can succeed on the former primary any more.

        Either the leases on its epoch have ended, or it knows that it is not
        the primary.
        """
        started = now()
        revocation = asyncio.ensure_future(self.host.leases.revoke(index))
        demotion = asyncio.ensure_future(
            self._demote_until_done(watched, 0.0 if dead else HANDOVER_WAIT_S)
        )
        try:
            await asyncio.wait(
                (revocation, demotion), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            revocation.cancel()
            demotion.cancel()
        log_event(
            "epoch_ended",
            service=watched.service,
            endpoint=watched.endpoint,
            index=index,
            demoted=demotion.done() and not demotion.cancelled(),
            duration_s=now() - started,
        )

    async def _demote_until_done(
        self, watched: WatchedPrimary, delay_s: float
    ) -> None:
        """Return when the former primary has confirmed its demotion."""
        await asyncio.sleep(delay_s)
        while not await self._demote_primary(watched):
            await asyncio.sleep(RETRY_DELAY_S)

    async def _await_catch_up(self, former: str, successor: str) -> None:
        """Wait until the successor has received the commits of the former."""
        deadline = now() + CATCH_UP_TIMEOUT_S
        text = self.dialect.state_text()
        while now() < deadline:
            states = await asyncio.gather(
                self.query_state(former, text),
                self.query_state(successor, text),
            )
            if None in states or states[0].received <= states[1].received:
                return
            await asyncio.sleep(CATCH_UP_POLL_S)

    async def _choose_successor(
        self, watched: WatchedPrimary
    ) -> str | Failure:
        """Choose the endpoint to promote."""
        entries = self._replicas(watched)
        statement = self.dialect.state_text()
        states = await asyncio.gather(
            *(
                self.query_state(entry.heartbeat.endpoint, statement)
                for entry in entries
            )
        )
        if self.host.leases.enabled:
            # An endpoint that claims to be primary may have been replaced
            # without noticing. Entry hosts would write on it at once.
            states = [
                None if state is not None and state.primary else state
                for state in states
            ]
        candidates = [
            Candidate(
                entry.heartbeat.endpoint,
                state.received if state is not None else None,
                entry.heartbeat.draining,
            )
            for entry, state in zip(entries, states, strict=True)
            if state is not None or not self._was_primary(watched, entry)
        ]
        return choose_successor(candidates, 0, self._ordered_endpoint(watched))

    def _was_primary(
        self, watched: WatchedPrimary, entry: EndpointEntry
    ) -> bool:
        """Return whether an endpoint is the former primary.

        Other replicas hold the commits that it acknowledged. Where endpoints
        are not fenced, the watched endpoint may never have led.
        """
        former = entry.heartbeat.endpoint == watched.endpoint
        return former and not self.host.leases.enabled

    def _ordered_endpoint(self, watched: WatchedPrimary) -> str:
        """Return the endpoint of the latest promotion if it had no effect.

        Matters only where the log decides which endpoint is the primary.
        """
        epoch = self.host.leases.epoch(watched.service)
        if not self.host.leases.enabled:
            return ""
        if epoch.endpoint == watched.endpoint and not (
            watched.not_primary_since
        ):
            return ""
        return epoch.endpoint

    def _replicas(self, watched: WatchedPrimary) -> list[EndpointEntry]:
        """Return the endpoints that may succeed a primary.

        One whose promotion was agreed on but did not happen is among them.
        """
        return [
            entry
            for entry in self.host.registry.service_endpoints(watched.service)
            if entry.heartbeat.endpoint != watched.endpoint
            or watched.not_primary_since is not None
        ]

    async def resume_replicas(self, watched: WatchedPrimary) -> None:
        """End pauses that were left behind or are carried out late."""
        text = self.dialect.resume_text()
        await asyncio.gather(
            *(
                self.query_state(entry.heartbeat.endpoint, text)
                for entry in self._replicas(watched)
            )
        )
        if not watched.resumed:
            watched.resumed = True
            log_event("replicas_resumed", service=watched.service)

    async def query_state(
        self, endpoint: str, text: str
    ) -> EndpointState | None:
        """Send a statement whose reply is the state of the endpoint."""
        link = await self._open_link(endpoint)
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

    async def _demote_primary(self, watched: WatchedPrimary) -> bool:
        """Demote the former primary; tell whether it has confirmed that.

        Its last commits are replicated afterwards.
        """
        return await self.demote(watched.service, watched.endpoint)

    async def demote(self, service: str, endpoint: str) -> bool:
        """Demote an endpoint; return whether it is not a primary."""
        state = await self.query_state(endpoint, self.dialect.state_text())
        if state is None:
            return False
        if not state.primary:
            return True
        return await self._send_demotion(service, endpoint, state.term + 1)

    async def _send_demotion(
        self, service: str, endpoint: str, term: int
    ) -> bool:
        """Demote a primary of a term below `term`; return whether it did."""
        link = await self._open_link(endpoint)
        if is_failure(link):
            return False
        text = self.dialect.demote_text(term)
        reply = await link.statement(text, STATE_TIMEOUT_S)
        refusal = None if is_failure(reply) else reply.refusal
        log_event(
            "primary_demoted",
            service=service,
            endpoint=endpoint,
            below_term=term,
            outcome=(
                reply.reason
                if is_failure(reply)
                else refusal.detail
                if refusal
                else "done"
            ),
        )
        if is_failure(reply) or refusal is not None:
            return False
        after = self.dialect.decode_state(reply)
        return not is_failure(after) and not after.primary

    async def await_takeover(self, endpoint: str) -> bool:
        """Wait until the new primary accepts transactions."""
        deadline = now() + TAKEOVER_TIMEOUT_S
        while now() < deadline:
            outcome = await self.check_primary(endpoint)
            if outcome is True:
                return True
            await asyncio.sleep(TAKEOVER_POLL_S)
        return False


def _cancel_tasks(watched: WatchedPrimary) -> None:
    for task in (watched.prober, watched.replacement):
        if task is not None:
            task.cancel()
