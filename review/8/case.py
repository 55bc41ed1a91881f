"""A control machine is killed while it takes over the state of its group."""

import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from harness_2.operator import Operator, status_of  # noqa: E402
from harness_2.system import (  # noqa: E402
    CannotRunError,
    System,
    main,
    wait_for,
)

# So many that the group keeps a snapshot instead of the first orders.
ORDERS = 640
# Successors that are tried until one is killed at the right moment.
MAX_SUCCESSORS = 6
REPLACED_AFTER_S = 1.0
RESTART_AFTER_S = 0.5
CATCH_UP_S = 4.0
READ_BACK_S = 20.0
JOIN_LIMIT_S = 15.0


def run(record, trouble: bool) -> bool:
    """Play the case; return whether the rule was broken."""
    system = System(record, machines=MAX_SUCCESSORS + 4, losses=1)
    try:
        return play(system, record, trouble)
    finally:
        system.close()


def replace(system, former, seeds):
    """Remove a machine for good; return an empty one at another address."""
    former.kill()
    time.sleep(REPLACED_AFTER_S)
    machine = system.add("control", former.zone, seeds, first=False)
    machine.start()
    return machine


def wait_for_snapshot(machine) -> None:
    """Wait until the folder of a machine has the snapshot of the group."""
    path = machine.data / "agreement.snapshot"
    until = time.monotonic() + JOIN_LIMIT_S
    while not os.path.exists(path):
        if time.monotonic() > until:
            raise CannotRunError("the new machine got no snapshot")


def votes(machine) -> bool:
    """Return whether a control machine says that it is a voter."""
    return bool(status_of(machine).get("voting"))


def has_old_log(machine) -> bool:
    """Return whether the log is still the one of the empty folder."""
    data = (machine.data / "agreement.log").read_bytes()
    return b"base_index\x00" in data


def join(system, former, seeds, record, trouble):
    """Replace a machine; kill its successor while it joins, if wanted."""
    for _ in range(MAX_SUCCESSORS):
        machine = replace(system, former, seeds)
        wait_for_snapshot(machine)
        if not trouble:
            return machine
        machine.kill()
        if has_old_log(machine):
            record("killed_while_joining", machine=machine.name)
            time.sleep(RESTART_AFTER_S)
            machine.start()
            return machine
        record("killed_too_late", machine=machine.name)
        former = machine
    raise CannotRunError("no successor was killed at the right moment")


def put_all(operator, machines, count: int, record) -> None:
    """Send configurations that all have to be accepted."""
    for _ in range(count):
        if not operator.put(machines, 8.0):
            raise CannotRunError("a configuration is not accepted")
    record("acknowledged", version=operator.acknowledged)


def play(system, record, trouble: bool) -> bool:
    """Play the case; return whether the rule was broken."""
    seeds = system.seeds(3)
    first, second, third = group = [
        system.add("control", zone, seeds, True) for zone in ("z1", "z2", "z3")
    ]
    for machine in group:
        machine.start()
    operator = Operator(record)
    if not operator.put(group, 20.0):
        raise CannotRunError("the first configuration is not accepted")
    put_all(operator, group, ORDERS, record)

    # The third machine is replaced by an empty one, which is killed once.
    joined = join(system, third, seeds, record, trouble)
    wait_for(lambda: votes(joined), JOIN_LIMIT_S, "the new machine votes")
    record("voter", machine=joined.name)
    time.sleep(CATCH_UP_S)
    put_all(operator, [first, second, joined], 5, record)

    # That machine is stopped and started as planned.
    joined.terminate()
    time.sleep(RESTART_AFTER_S)
    joined.start()
    time.sleep(2 * CATCH_UP_S)
    put_all(operator, [first, second], 1, record)

    # Another machine is replaced by an empty one.
    successor = replace(system, first, seeds)
    time.sleep(CATCH_UP_S)
    machines = [second, joined, successor]
    until = time.monotonic() + READ_BACK_S
    newest = 0
    while time.monotonic() < until and newest < operator.acknowledged:
        newest = max([newest, *(operator.read(m) for m in machines)])
        time.sleep(0.5)
    for machine in machines:
        known = status_of(machine)
        record(
            "status",
            machine=machine.name,
            leader=known.get("leader"),
            voting=known.get("voting"),
            failure=repr(pathlib.Path(known.get("failure", "")).name),
        )
    record("newest", read=newest, acknowledged=operator.acknowledged)
    return newest < operator.acknowledged


if __name__ == "__main__":
    # TROUBLE=0 does the same without the disruption.
    main(run, os.environ.get("TROUBLE", "1") != "0")
