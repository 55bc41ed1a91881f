"""Faults in force and the gates that apply them."""

import asyncio
import time
import weakref

from chivescale_standin._messages import Fault

# A freeze that is cleared early ends within this time.
GATE_POLL_S = 0.05


class Faults:
    """State of fault injection.

    Attributes are those of `Fault`; `frozen_until` is a monotonic time in
    seconds.
    """

    def __init__(self, delay_s: float = 0.0):
        self.base_delay_s = delay_s
        self.connections = weakref.WeakSet()
        self.silent = weakref.WeakSet()
        self.clear()

    def clear(self) -> None:
        """End all faults; silenced connections stay silent."""
        self.frozen_until = 0.0
        self.cut: frozenset[str] = frozenset()
        self.cut_all = False
        self.cut_control = False
        self.lag_s = 0.0
        self.slow_s = 0.0
        self.refuse = False
        self.drop_announcements = 0
        self.delay_s = self.base_delay_s

    def apply(self, fault: Fault) -> None:
        """Put the stated faults in force."""
        if fault.clear:
            self.clear()
        if fault.freeze_ms is not None:
            self.frozen_until = time.monotonic() + fault.freeze_ms / 1000
        if fault.cut is not None:
            self.cut = frozenset(fault.cut)
        for name in ("cut_all", "cut_control", "refuse", "drop_announcements"):
            value = getattr(fault, name)
            if value is not None:
                setattr(self, name, value)
        if fault.silence:
            self.silent |= self.connections
        for name in ("lag", "slow", "delay"):
            value = getattr(fault, f"{name}_ms")
            if value is not None:
                setattr(self, f"{name}_s", value / 1000)

    def is_cut(self, endpoint: str) -> bool:
        """Whether replication with `endpoint` is cut."""
        return self.cut_all or endpoint in self.cut

    def note(self, connection: object) -> bool:
        """Remember an admin connection; True if it is silent."""
        self.connections.add(connection)
        return connection in self.silent

    async def gate(self) -> None:
        """Wait while the process counts as frozen."""
        while True:
            left_s = self.frozen_until - time.monotonic()
            if left_s <= 0:
                return
            await asyncio.sleep(min(left_s, GATE_POLL_S))

    async def travel(self) -> None:
        """Wait for one network delay, then for the end of a freeze."""
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        await self.gate()
