"""Simulated group whose links take time in proportion to the size."""

import math

from chivescale import agreement as ag
from chivescale.agreement._limits import entries_bytes, transfer_time_s
from chivescale.agreement.tests.fakes import TIMING, World
from chivescale.messages import encode

DELAY_S = 0.002


class SlowWorld(World):
    """Sends batches at a limited speed and with the time-outs of `Peers`.

    After a time-out, only one call to a member is made at a time.

    Attributes
    ----------
    bytes_per_s : float
        Speed of each link.
    """

    def __init__(self, seed: int, names: tuple[str, ...]):
        self.bytes_per_s = math.inf
        self.call_ends: dict[str, list[float]] = {}
        self.timed_out: set[str] = set()
        super().__init__(seed, names)

    def _transmit(self, message) -> None:
        if not isinstance(message, ag.AppendRequest):
            super()._transmit(message)
            return
        target = message.header.target
        ends = [e for e in self.call_ends.get(target, ()) if e > self.now]
        self.call_ends[target] = ends
        if target in self.timed_out and ends:
            self._enqueue(self.now, ag.Undelivered(message))
            return
        timeout_s = TIMING.election_timeout_s - TIMING.heartbeat_s
        timeout_s += transfer_time_s(entries_bytes(message.entries))
        duration_s = DELAY_S + len(encode(message)) / self.bytes_per_s
        lost = self.hosts[target].machine is None or duration_s > timeout_s
        at = self.now + min(duration_s, timeout_s)
        ends.append(at)
        if lost:
            self.timed_out.add(target)
            self._enqueue(at, ag.Undelivered(message))
        else:
            self.timed_out.discard(target)
            self._enqueue(at, ag.Received(message))
