"""Upper bound of the age of the data on each endpoint."""

import bisect

import msgspec

from chivescale.messages import EndpointStatus, Position, ServiceRecord

MAX_SAMPLES = 512
MAX_SAMPLE_AGE_S = 60.0
# Minimum distance of samples relative to their age, which bounds the relative
# error of a proven age. About 350 samples cover ages from 2 ms to 60 s.
RELATIVE_SPACING = 0.03
MIN_SPACING_S = 0.002


class _EndpointState(msgspec.Struct):
    incarnation: str
    last: Position | None
    promised_term: int
    received_at: float


class Freshness:
    """Barrier samples and endpoint positions of one service.

    At time T, the data of an endpoint at or above a barrier that was sent at
    T0 is at most T - T0 old. This bound is the proven age of the endpoint.

    Parameters
    ----------
    max_samples : int, optional
        Maximum number of samples that are kept.
    max_sample_age_s : float, optional
        Age at which samples are discarded, in seconds.
    """

    def __init__(
        self,
        *,
        max_samples: int = MAX_SAMPLES,
        max_sample_age_s: float = MAX_SAMPLE_AGE_S,
    ):
        self.max_sample_age_s = max_sample_age_s
        self.max_samples = max_samples
        # Samples: two ascending lists of equal length.
        self.sent_at: list[float] = []
        self.positions: list[Position] = []
        self.endpoints: dict[str, _EndpointState] = {}
        self.highest_promised_term = 0
        self.record: ServiceRecord | None = None

    def term_changed(self, record: ServiceRecord) -> None:
        """Record an established term; lower terms are ignored."""
        if self.record is None or record.term > self.record.term:
            self.record = record

    def add_sample(
        self, sent_at: float, position: Position, promised_term: int
    ) -> None:
        """Record that a barrier sent at `sent_at` returned `position`."""
        self.highest_promised_term = max(
            self.highest_promised_term, promised_term
        )
        if self.sent_at and sent_at <= self.sent_at[-1]:
            # Rounds can finish out of order; a newer one is already recorded.
            return
        # A later barrier with the same or a lower position proves more than
        # an earlier one. It is lower if entries seen by the earlier barrier
        # were never confirmed.
        while self.positions and self.positions[-1] >= position:
            self.positions.pop()
            self.sent_at.pop()
        self.sent_at.append(sent_at)
        self.positions.append(position)
        self._discard_old_samples(sent_at)

    def _discard_old_samples(self, now: float) -> None:
        expired_count = bisect.bisect_left(
            self.sent_at, now - self.max_sample_age_s
        )
        if expired_count:
            del self.sent_at[:expired_count]
            del self.positions[:expired_count]
        if len(self.sent_at) > self.max_samples:
            self._thin_samples(now)

    def _thin_samples(self, now: float) -> None:
        """Thin the samples so that their distance grows with their age.

        If only the newest samples were kept, a burst of barriers would
        displace the samples that lagging replicas depend on.
        """
        kept_indices = [len(self.sent_at) - 1]
        for index in range(len(self.sent_at) - 2, -1, -1):
            sent_at = self.sent_at[index]
            min_gap_s = max(MIN_SPACING_S, RELATIVE_SPACING * (now - sent_at))
            if self.sent_at[kept_indices[-1]] - sent_at >= min_gap_s:
                kept_indices.append(index)
        # Leave room, so that not every new sample requires thinning.
        kept_indices = kept_indices[: self.max_samples * 3 // 4][::-1]
        self.sent_at = [self.sent_at[index] for index in kept_indices]
        self.positions = [self.positions[index] for index in kept_indices]

    def record_status(
        self,
        endpoint: str,
        status: EndpointStatus,
        sent_at: float,
        received_at: float,
    ) -> None:
        """Record the status that an endpoint returned.

        Parameters
        ----------
        endpoint : str
            Name of the endpoint.
        status : EndpointStatus
            Its status.
        sent_at, received_at : float
            When the request was sent and the answer received, in monotonic
            seconds. They order the answers of different incarnations: an
            answer from before a loss of data must not hide the loss.
        """
        self.highest_promised_term = max(
            self.highest_promised_term, status.promised_term
        )
        state = self.endpoints.get(endpoint)
        if state is None:
            self.endpoints[endpoint] = _EndpointState(
                status.incarnation,
                status.last,
                status.promised_term,
                received_at,
            )
            return
        if state.incarnation == status.incarnation:
            if state.last is not None:
                state.last = max(state.last, status.last)
            elif sent_at >= state.received_at:
                state.last = status.last
            state.promised_term = max(
                state.promised_term, status.promised_term
            )
            state.received_at = max(state.received_at, received_at)
            return
        is_newer = sent_at >= state.received_at
        state.incarnation = status.incarnation
        state.last = status.last if is_newer else None
        state.promised_term = status.promised_term if is_newer else 0
        state.received_at = max(state.received_at, received_at)

    def remove_endpoint(self, endpoint: str) -> None:
        """Discard the state of an endpoint that was removed."""
        self.endpoints.pop(endpoint, None)

    def position(self, endpoint: str) -> Position | None:
        """Return the latest known position of an endpoint, if any."""
        state = self.endpoints.get(endpoint)
        return state.last if state else None

    def incarnation(self, endpoint: str) -> str | None:
        """Return the incarnation that the state of an endpoint refers to.

        A read must run on a connection to this incarnation: an endpoint
        that lost its data has a new one.
        """
        state = self.endpoints.get(endpoint)
        return state.incarnation if state else None

    def has_promised_term(self, endpoint: str, promised_term: int = 0) -> bool:
        """Return whether an endpoint has promised the highest known term.

        An endpoint that has not may hold entries that are being replaced.
        """
        state = self.endpoints.get(endpoint)
        required_term = max(promised_term, self.highest_promised_term)
        if self.record is not None:
            required_term = max(required_term, self.record.term)
        if self._is_primary(endpoint) and self.record.term >= required_term:
            return True
        return state is not None and state.promised_term >= required_term

    def holds_position(self, endpoint: str, position: Position) -> bool:
        """Return whether an endpoint is proven to hold `position`.

        By definition, the primary of the published term holds every position
        of that term and of lower terms.
        """
        if not self.has_promised_term(endpoint):
            return False
        if self._is_primary(endpoint) and position.term <= self.record.term:
            return True
        last = self.position(endpoint)
        return last is not None and last >= position

    def proven_age_s(self, endpoint: str, now: float) -> float | None:
        """Return the proven age of the data of an endpoint.

        Returns
        -------
        float or None
            Upper bound of the age in seconds; None if there is none.
        """
        if not self.sent_at or not self.has_promised_term(endpoint):
            return None
        last = self.position(endpoint)
        if self._is_primary(endpoint):
            lower_bound = Position(self.record.term, 1 << 62)
            last = lower_bound if last is None else max(last, lower_bound)
        if last is None:
            return None
        index = bisect.bisect_right(self.positions, last)
        return now - self.sent_at[index - 1] if index else None

    def endpoints_within(
        self, age_s: float, position: Position | None, now: float
    ) -> list[str]:
        """Return the endpoints whose proven age is at most `age_s`.

        Parameters
        ----------
        age_s : float
            Accepted age, in seconds.
        position : Position or None
            Position that the endpoints must hold.
        now : float
            Monotonic time in seconds.
        """
        names = set(self.endpoints)
        if self.record is not None and self.record.primary:
            names.add(self.record.primary)
        eligible = []
        for name in sorted(names):
            age = self.proven_age_s(name, now)
            if age is None or age > age_s:
                continue
            if position is None or self.holds_position(name, position):
                eligible.append(name)
        return eligible

    def _is_primary(self, endpoint: str) -> bool:
        record = self.record
        if record is None or record.primary != endpoint:
            return False
        state = self.endpoints.get(endpoint)
        if state is None:
            return True
        # A primary that lost its data no longer holds the log of its term.
        members = zip(record.voters, record.incarnations, strict=True)
        return (endpoint, state.incarnation) in members
