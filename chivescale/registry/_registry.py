"""Merges the statements of endpoints, in any order of arrival."""

import msgspec

from chivescale.registry._records import EndpointBeat, EndpointView

# An endpoint that is silent for this long is forgotten. Longer than any
# pause or partition that an endpoint survives.
FORGET_AFTER_S = 30.0
# A farewell is remembered for longer than a delayed heartbeat can travel.
GONE_KEPT_S = 60.0
# Bounds the memory that unknown writers can take.
MAX_ENDPOINTS = 20_000


class Registry:
    """Endpoints by their identifier.

    Statements may be delayed, repeated and delivered through several
    control hosts, so each is accepted only if its `EndpointBeat.order` is
    above the known one. A later incarnation at the same address ends the
    earlier one.

    Attributes
    ----------
    views : dict of str to EndpointView
        Known endpoints, also those that are gone.
    revision : int
        Number of the last change that matters to entry hosts.
    """

    def __init__(self):
        self.views: dict[str, EndpointView] = {}
        self.by_address: dict[str, str] = {}
        self.revision = 0

    def note(self, beat: EndpointBeat, now: float) -> bool:
        """Take over a statement.

        Parameters
        ----------
        beat : EndpointBeat
            Statement.
        now : float
            Seconds.

        Returns
        -------
        bool
            Whether it is news; False for a late or repeated one.
        """
        known = self.views.get(beat.endpoint)
        if known is not None and beat.order <= known.beat.order:
            return False
        if known is None and len(self.views) >= MAX_ENDPOINTS:
            return False
        if not beat.gone and not self._take_address(beat, now):
            return False
        same = known is not None and _relevant(known.beat) == _relevant(beat)
        if not same:
            self.revision += 1
        since = 0.0
        if beat.primary and not beat.gone:
            kept = known is not None and known.beat.primary
            kept = kept and known.beat.born_ms == beat.born_ms
            since = known.primary_since if kept else now
        revision = known.revision if same else self.revision
        self.views[beat.endpoint] = EndpointView(beat, now, since, revision)
        return True

    def _take_address(self, beat: EndpointBeat, now: float) -> bool:
        """Let the latest incarnation at an address replace the others."""
        holder = self.views.get(self.by_address.get(beat.address, ""))
        if (
            holder is not None
            and holder.beat.endpoint != beat.endpoint
            and not holder.beat.gone
        ):
            if holder.beat.born_ms > beat.born_ms:
                return False
            self._end(holder, now)
        self.by_address[beat.address] = beat.endpoint
        return True

    def _end(self, view: EndpointView, now: float) -> None:
        self.revision += 1
        view.beat = msgspec.structs.replace(view.beat, gone=True)
        view.heard_at = now
        view.primary_since = 0.0
        view.revision = self.revision

    def leave(self, endpoint: str, born_ms: int, now: float) -> bool:
        """Note the farewell of an endpoint.

        Parameters
        ----------
        endpoint : str
            Identifier.
        born_ms : int
            Incarnation that ends; 0 if not stated.
        now : float
            Seconds.

        Returns
        -------
        bool
            Whether the endpoint was known and has ended by this.
        """
        view = self.views.get(endpoint)
        if view is None or view.beat.gone:
            return False
        if born_ms and born_ms < view.beat.born_ms:
            return False
        self._end(view, now)
        return True

    def expire(self, now: float) -> None:
        """Forget endpoints that have been silent for long."""
        for endpoint, view in list(self.views.items()):
            age = now - view.heard_at
            if not view.beat.gone and age > FORGET_AFTER_S:
                self._end(view, now)
            elif view.beat.gone and age > GONE_KEPT_S:
                del self.views[endpoint]
                if self.by_address.get(view.beat.address) == endpoint:
                    del self.by_address[view.beat.address]

    def changed_since(self, revision: int) -> list[EndpointView]:
        """Return what entry hosts need that know `revision`."""
        return [v for v in self.views.values() if v.revision > revision]

    def of_service(self, service: str) -> list[EndpointView]:
        """Return the endpoints of a service that have not ended."""
        return [
            view
            for view in self.views.values()
            if view.beat.service == service and not view.beat.gone
        ]


def _relevant(beat: EndpointBeat) -> EndpointBeat:
    """Return a heartbeat without what changes with each of them."""
    return msgspec.structs.replace(beat, sequence=0)
