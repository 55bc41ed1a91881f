"""Embed the consistency decisions without sockets, clocks or threads.

A program that has its own transport feeds events into the state machines
and carries out the effects that they return. Here the "transport" is a
dictionary of endpoint states. Run with ``python examples/embedding.py``.
"""

from chivescale import session
from chivescale.messages import EndpointStatus, Position, ServiceRecord

VOTERS = ("db-1", "db-2", "db-3")
RECORD = ServiceRecord(
    "ledger", 3, 4, 4, "db-1", VOTERS, ("a", "b", "c"), marker=90
)


def status(endpoint: str, position: int) -> EndpointStatus:
    """Return what an endpoint would answer to ``GET /v1/position``."""
    incarnation = dict(zip(VOTERS, RECORD.incarnations, strict=True))
    return EndpointStatus(
        endpoint=endpoint,
        service="ledger",
        incarnation=incarnation[endpoint],
        role="primary" if endpoint == RECORD.primary else "replica",
        promised_term=RECORD.term,
        last=Position(RECORD.term, position),
        mysql_address="",
        admin_address="",
    )


def confirm_write(positions: dict[str, int], write: Position) -> list:
    """Return the effects until a write at `write` is decided."""
    machine = session.Confirmations(RECORD)
    effects = machine.step(session.WriteAccepted(1, write, deadline=5.0), 0.0)
    decided: list = []
    while effects:
        effect = effects.pop(0)
        if not isinstance(effect, session.PollPositions):
            decided.append(effect)
            continue
        for endpoint in effect.endpoints:
            answer = status(endpoint, positions[endpoint])
            event = session.PositionReceived(endpoint, answer)
            effects += machine.step(event, 0.01)
    return decided


def read_barrier(positions: dict[str, int]) -> session.BarrierReady:
    """Return the barrier of one read, taken from a replica quorum."""
    machine = session.Barriers(
        session.TermChanged(
            VOTERS, RECORD.incarnations, RECORD.primary, RECORD.term
        )
    )
    effects = machine.step(session.ReadArrived(1, deadline=1.0), 0.0)
    while not isinstance(effects[0], session.BarrierReady):
        effect = effects.pop(0)
        for endpoint in effect.endpoints:
            answer = status(endpoint, positions[endpoint])
            event = session.StatusReceived(effect.round, endpoint, answer)
            effects += machine.step(event, 0.002)
    return effects[0]


def main() -> None:
    """Confirm a write and find where a later read may run."""
    positions = {"db-1": 100, "db-2": 99, "db-3": 100}
    (outcome,) = confirm_write(positions, Position(4, 100))
    print(f"write: {type(outcome).__name__}")
    barrier = read_barrier(positions)
    print(f"read at or above {barrier.position} on {barrier.holders}")


if __name__ == "__main__":
    main()
