"""Entry host with a baseline in place of one mechanism.

``python -m benchmarks.baselines MODE --settings FILE``. The product has no
switch for these; this program replaces functions before the start.
"""

import copy
import sys

from chivescale import daemon, session
from chivescale.limits import FairQueue
from chivescale.pipeline import _read
from chivescale.pipeline._service import ServiceView
from chivescale.pool import Pool


def read_from_primary() -> None:
    """Send every read to the primary."""

    def choose(call, _plan):
        return call.service.primary()

    async def stay(_call, primary, _plan):
        return primary

    _read._choose = choose
    _read._prefer_replica = stay


def do_not_share_barriers() -> None:
    """Give every read a barrier round of its own."""
    shared = ServiceView.barrier

    async def barrier(view: ServiceView, deadline: float):
        own = copy.copy(view)
        own.barriers = session.Barriers(view.barriers.term)
        own.waiters, own.timers = {}, {}
        answer = await shared(own, deadline)
        view.quorum_at = max(view.quorum_at, own.quorum_at)
        return answer

    ServiceView.barrier = barrier


def queue_in_order_of_arrival() -> None:
    """Queue statements and pool requests first in, first out."""
    offer, acquire = FairQueue.offer, Pool.acquire

    def offer_to_all(queue, _workspace, item, deadline, now):
        queue.per_workspace = queue.total
        return offer(queue, "", item, deadline, now)

    async def acquire_for_all(pool, deadline, _workspace):
        return await acquire(pool, deadline, "")

    FairQueue.offer = offer_to_all
    Pool.acquire = acquire_for_all


MODES = {
    "primary-reads": read_from_primary,
    "unshared-barriers": do_not_share_barriers,
    "first-in-first-out": queue_in_order_of_arrival,
}


def main() -> int:
    """Apply the mode and run the daemon."""
    MODES[sys.argv[1]]()
    return daemon.main(sys.argv[2:])


if __name__ == "__main__":
    sys.exit(main())
