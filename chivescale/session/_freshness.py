"""Proven age of the data of each endpoint."""

import bisect

import msgspec

from chivescale.messages import EndpointStatus, Position, ServiceRecord

MAX_SAMPLES = 512
MAX_SAMPLE_AGE_S = 60.0
# Distance of samples as a share of their age, which bounds the error of a
# proven age. From 2 ms to 60 s about 350 samples are enough.
RELATIVE_SPACING = 0.03
MIN_SPACING_S = 0.002


class _Known(msgspec.Struct):
    incarnation: str
    last: Position | None
    promised_term: int
    received_at: float


class Freshness:
    """Barrier samples and endpoint positions of one service.

    An endpoint at or above a barrier that was sent at T0 has, at time T,
    data that is at most T - T0 old: its proven age.
    """

    def __init__(
        self,
        *,
        max_samples: int = MAX_SAMPLES,
        max_sample_age_s: float = MAX_SAMPLE_AGE_S,
    ):
        self.max_sample_age_s = max_sample_age_s
        self.max_samples = max_samples
        # Both ascending, of equal length.
        self.sent_at: list[float] = []
        self.positions: list[Position] = []
        self.known: dict[str, _Known] = {}
        self.highest_promised = 0
        self.record: ServiceRecord | None = None

    def term_changed(self, record: ServiceRecord) -> None:
        """Note an established term; lower ones are ignored."""
        if self.record is None or record.term > self.record.term:
            self.record = record

    def add_sample(
        self, sent_at: float, position: Position, promised_term: int
    ) -> None:
        """Note that a barrier sent at `sent_at` returned `position`."""
        self.highest_promised = max(self.highest_promised, promised_term)
        if self.sent_at and sent_at <= self.sent_at[-1]:
            # Rounds can end out of order; the newer one is in already.
            return
        # A later barrier at the same or a lower position proves more than
        # the earlier one. It can be lower when entries seen by the earlier
        # one were never confirmed.
        while self.positions and self.positions[-1] >= position:
            self.positions.pop()
            self.sent_at.pop()
        self.sent_at.append(sent_at)
        self.positions.append(position)
        self._bound(sent_at)

    def _bound(self, now: float) -> None:
        old = bisect.bisect_left(self.sent_at, now - self.max_sample_age_s)
        if old:
            del self.sent_at[:old]
            del self.positions[:old]
        if len(self.sent_at) > self.max_samples:
            self._thin(now)

    def _thin(self, now: float) -> None:
        """Keep samples at distances that grow with their age.

        Keeping the newest only would let a burst of barriers displace the
        samples that lagging replicas depend on.
        """
        kept = [len(self.sent_at) - 1]
        for index in range(len(self.sent_at) - 2, -1, -1):
            sent_at = self.sent_at[index]
            gap = max(MIN_SPACING_S, RELATIVE_SPACING * (now - sent_at))
            if self.sent_at[kept[-1]] - sent_at >= gap:
                kept.append(index)
        # Leave room, so that thinning is not needed for every sample.
        kept = kept[: self.max_samples * 3 // 4][::-1]
        self.sent_at = [self.sent_at[index] for index in kept]
        self.positions = [self.positions[index] for index in kept]

    def record_status(
        self,
        endpoint: str,
        status: EndpointStatus,
        sent_at: float,
        received_at: float,
    ) -> None:
        """Note an answer of an endpoint.

        Parameters
        ----------
        endpoint : str
            Who answered.
        status : EndpointStatus
            Its answer.
        sent_at, received_at : float
            When the question left and the answer came, in monotonic
            seconds. They order answers of different incarnations: an
            answer from before a loss of data must not hide the loss.
        """
        self.highest_promised = max(
            self.highest_promised, status.promised_term
        )
        known = self.known.get(endpoint)
        if known is None:
            self.known[endpoint] = _Known(
                status.incarnation,
                status.last,
                status.promised_term,
                received_at,
            )
            return
        if known.incarnation == status.incarnation:
            if known.last is not None:
                known.last = max(known.last, status.last)
            elif sent_at >= known.received_at:
                known.last = status.last
            known.promised_term = max(
                known.promised_term, status.promised_term
            )
            known.received_at = max(known.received_at, received_at)
            return
        newer = sent_at >= known.received_at
        known.incarnation = status.incarnation
        known.last = status.last if newer else None
        known.promised_term = status.promised_term if newer else 0
        known.received_at = max(known.received_at, received_at)

    def forget(self, endpoint: str) -> None:
        """Drop what is known of an endpoint that was removed."""
        self.known.pop(endpoint, None)

    def position(self, endpoint: str) -> Position | None:
        """Return the latest known position of an endpoint."""
        known = self.known.get(endpoint)
        return known.last if known else None

    def incarnation(self, endpoint: str) -> str | None:
        """Return the incarnation that the knowledge of an endpoint is of.

        A read must run on a connection to this incarnation: an endpoint
        that lost its data has a new one.
        """
        known = self.known.get(endpoint)
        return known.incarnation if known else None

    def promised_ok(self, endpoint: str, promised_term: int = 0) -> bool:
        """Tell whether an endpoint promised the highest known term.

        An endpoint that has not may hold entries that are being replaced.
        """
        known = self.known.get(endpoint)
        needed = max(promised_term, self.highest_promised)
        if self.record is not None:
            needed = max(needed, self.record.term)
        if self._is_primary(endpoint) and self.record.term >= needed:
            return True
        return known is not None and known.promised_term >= needed

    def holds(self, endpoint: str, position: Position) -> bool:
        """Tell whether an endpoint provably includes `position`.

        The primary of the published term holds every position of that term
        and below by definition.
        """
        if not self.promised_ok(endpoint):
            return False
        if self._is_primary(endpoint) and position.term <= self.record.term:
            return True
        last = self.position(endpoint)
        return last is not None and last >= position

    def proven_age_s(self, endpoint: str, now: float) -> float | None:
        """Return the proven age of an endpoint's data, in seconds.

        Returns
        -------
        float or None
            None if nothing is proven.
        """
        if not self.sent_at or not self.promised_ok(endpoint):
            return None
        last = self.position(endpoint)
        if self._is_primary(endpoint):
            floor = Position(self.record.term, 1 << 62)
            last = floor if last is None else max(last, floor)
        if last is None:
            return None
        index = bisect.bisect_right(self.positions, last)
        return now - self.sent_at[index - 1] if index else None

    def endpoints_within(
        self, age_s: float, position: Position | None, now: float
    ) -> list[str]:
        """Return endpoints with a proven age within `age_s`.

        Parameters
        ----------
        age_s : float
            Accepted age, in seconds.
        position : Position or None
            What the session must see.
        now : float
            Monotonic seconds.
        """
        names = set(self.known)
        if self.record is not None and self.record.primary:
            names.add(self.record.primary)
        found = []
        for name in sorted(names):
            age = self.proven_age_s(name, now)
            if age is None or age > age_s:
                continue
            if position is None or self.holds(name, position):
                found.append(name)
        return found

    def _is_primary(self, endpoint: str) -> bool:
        record = self.record
        if record is None or record.primary != endpoint:
            return False
        known = self.known.get(endpoint)
        if known is None:
            return True
        # A primary that lost its data no longer holds its term's log.
        members = zip(record.voters, record.incarnations, strict=True)
        return (endpoint, known.incarnation) in members
