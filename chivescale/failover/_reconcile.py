"""Keeps the endpoints of a stable group attached to the primary."""

from chivescale.failover._events import AskPosition
from chivescale.failover._group import Group, Timing
from chivescale.messages import EndpointStatus

# Minimum time between requests to one endpoint. It is shorter than the
# interval of announcements, which is about one second.
REQUEST_INTERVAL_S = 0.5

# Endpoints that were silent for this long are polled directly, so that lost
# announcements are not mistaken for lost endpoints.
POLL_AFTER_SILENCE_S = 3.0


class Reconciler:
    """Repeats missed follow requests and polls silent endpoints."""

    def __init__(self, group: Group, timing: Timing):
        self.group = group
        self.timing = timing
        self.follow_sent_at: dict[str, float] = {}
        self.requested_at: dict[str, float] = {}

    def step(self, now: float) -> list[object]:
        """Return the requests that are due."""
        record = self.group.record
        if record.term == 0:
            return []
        effects: list[object] = []
        for name in self.group.endpoints:
            if now - self.group.last_contact_at(name) > POLL_AFTER_SILENCE_S:
                effects += self._ask_position(name, now)
        for name, observed in self.group.registered_statuses().items():
            if name == record.primary:
                if observed.status.role != "primary":
                    effects += self._ask_position(name, now)
            elif self._must_follow(observed.status):
                effects += self._send_follow(name, now)
        return effects

    def _must_follow(self, status: EndpointStatus) -> bool:
        record = self.group.record
        if status.promised_term > record.term:
            return False
        follows = (
            status.role == "replica"
            and status.promised_term == record.term
            and status.primary == record.primary
        )
        return not follows

    def _send_follow(self, name: str, now: float) -> list[object]:
        record = self.group.record
        last = self.follow_sent_at.get(name, float("-inf"))
        primary_address = self.group.address_of(record.primary)
        if not primary_address or now - last < REQUEST_INTERVAL_S:
            return []
        self.follow_sent_at[name] = now
        timeout_s = self.timing.promise_timeout_s
        return [
            self.group.follow_request(
                name, record.term, record.primary, timeout_s
            )
        ]

    def _ask_position(self, name: str, now: float) -> list[object]:
        last = self.requested_at.get(name, float("-inf"))
        if now - last < REQUEST_INTERVAL_S:
            return []
        self.requested_at[name] = now
        address = self.group.address_of(name)
        return [AskPosition(name, address, 0, self.timing.silence_floor_s)]
