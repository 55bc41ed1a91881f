"""Keeps the members of a stable group behind their primary."""

from chivescale.failover._events import AskPosition
from chivescale.failover._group import Group, Timing
from chivescale.messages import EndpointStatus

# An endpoint whose status shows no or another primary is told again at most
# this often; its next announcement comes after about a second.
FOLLOW_AGAIN_S = 0.5

# Members that were not heard of for this long are asked directly: a loss of
# announcements must not look like a loss of members.
QUIET_S = 3.0


class Reconciler:
    """Tells members that missed it whom to follow, and asks quiet ones."""

    def __init__(self, group: Group, timing: Timing):
        self.group = group
        self.timing = timing
        self.followed_at: dict[str, float] = {}
        self.asked_at: dict[str, float] = {}

    def step(self, now: float) -> list[object]:
        """Return the requests that are due."""
        record = self.group.record
        if record.term == 0:
            return []
        effects: list[object] = []
        for name in self.group.endpoints:
            if now - self.group.heard_at(name) > QUIET_S:
                effects += self._ask(name, now)
        for name, known in self.group.known().items():
            if name == record.primary:
                if known.status.role != "primary":
                    effects += self._ask(name, now)
            elif self._astray(known.status):
                effects += self._follow(name, now)
        return effects

    def _astray(self, status: EndpointStatus) -> bool:
        record = self.group.record
        if status.promised_term > record.term:
            return False
        follows = (
            status.role == "replica"
            and status.promised_term == record.term
            and status.primary == record.primary
        )
        return not follows

    def _follow(self, name: str, now: float) -> list[object]:
        record = self.group.record
        last = self.followed_at.get(name, float("-inf"))
        known = self.group.address(record.primary)
        if not known or now - last < FOLLOW_AGAIN_S:
            return []
        self.followed_at[name] = now
        timeout_s = self.timing.promise_timeout_s
        return [
            self.group.follow(name, record.term, record.primary, timeout_s)
        ]

    def _ask(self, name: str, now: float) -> list[object]:
        last = self.asked_at.get(name, float("-inf"))
        if now - last < FOLLOW_AGAIN_S:
            return []
        self.asked_at[name] = now
        address = self.group.address(name)
        return [AskPosition(name, address, 0, self.timing.silence_floor_s)]
