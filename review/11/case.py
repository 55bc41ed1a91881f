"""A primary crashes for a second while a replica is being replaced."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).parent
sys.path.insert(0, str(FOLDER.parent / "harness_3"))

import handover  # noqa: E402

DOWN_S = 1.1
# The crash comes this long before the start of the new server.
BEFORE_START_S = 0.5


class Case(handover.Case):
    """Releases replicas instead of primaries."""

    def __init__(self):
        super().__init__(FOLDER, lambda case: None)

    async def crash_primary(self, service) -> None:
        """Let the primary crash and come back."""
        primary = service.leader
        self.record(f"crash of {primary.name}")
        primary.crash()
        await asyncio.sleep(DOWN_S)
        await primary.come_back()
        role = "primary" if primary.primary else "replica"
        self.record(f"{primary.name} is back as {role}")

    async def release(self, name: str, delay_s: float) -> None:
        """Replace a replica of a service again and again."""
        service = self.services[name]
        await asyncio.sleep(delay_s)
        while not self.stopping:
            if handover.TROUBLE:
                service.background(self.crash_primary(service))
            await asyncio.sleep(BEFORE_START_S)
            replica = next(
                s for s in service.servers.values() if s is not service.leader
            )
            new = await service.add(replica.zone, replaces=replica)
            self.record(f"release of {replica.name}, {new.name} starts")
            await asyncio.sleep(1.0)
            await replica.leave(handover.DRAIN_S, handover.LINGER_S)
            await asyncio.sleep(4.0)


async def main() -> int:
    """Run the case."""
    return await handover.run_prepared(Case())


sys.exit(asyncio.run(main()))
