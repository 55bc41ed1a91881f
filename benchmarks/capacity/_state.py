"""Memory and snapshot bytes of the cluster state."""

import msgspec

from benchmarks.capacity import _records as records
from benchmarks.capacity._clock import cpu_us, memory_bytes, point
from chivescale.messages import AcceptSheet, ServiceRecord, encode
from chivescale.sheet import format_sheet, make_sheet, parse_sheet
from chivescale.state import ClusterState

COUNTS = (250, 500, 1000, 2000)

# Arguments of `records.cluster` for `count` records of one kind.
KINDS = {
    "host": lambda count: {"hosts": count},
    "endpoint": lambda count: {"spare_endpoints": count},
    "service": lambda count: {"services": count, "group": 0},
    "workspace": lambda count: {"workspaces": count},
}


def measure():
    """Return memory and snapshot size by kind and number of records."""
    for kind, arguments in KINDS.items():
        for count in COUNTS:
            yield from _points(kind, count, arguments(count))
    for count in COUNTS:
        yield from _sheet(count)
    for count in COUNTS:
        data = records.cluster(services=count).to_bytes()
        state = ClusterState.from_bytes(data)
        runs = cpu_us(state.to_bytes, 3)
        yield point("state.snapshot", "services", count, "us", runs)


def _points(kind: str, count: int, arguments: dict):
    # What arrives over the network shares no strings, so the state is
    # measured as a host holds it, after decoding.
    data = records.cluster(**arguments).to_bytes()
    used = [memory_bytes(lambda: ClusterState.from_bytes(data))]
    yield point(f"state.{kind}_memory", f"{kind}s", count, "B", used)
    yield point(f"state.{kind}_snapshot", f"{kind}s", count, "B", [len(data)])


def _sheet(count: int):
    """Measure a whole sheet, of which one workspace is changed."""
    services = [ServiceRecord(records.service(n)) for n in range(count * 3)]
    workspaces = [records.workspace(n) for n in range(count)]
    text = format_sheet(make_sheet(services, workspaces))
    sheet = parse_sheet(text)
    command = AcceptSheet(1, "", sheet.services, sheet.workspaces)
    state, numbers = ClusterState(), iter(range(1, 1 << 60))

    def apply():
        number = next(numbers)
        changed = msgspec.structs.replace(
            sheet.workspaces[0], max_connections=number
        )
        state.apply(
            number,
            AcceptSheet(
                number,
                str(number),
                sheet.services,
                (changed, *sheet.workspaces[1:]),
            ),
        )

    runs = cpu_us(lambda: parse_sheet(text), 3)
    yield point("state.sheet_parse", "workspaces", count, "us", runs)
    runs = cpu_us(apply, 3)
    yield point("state.sheet_apply", "workspaces", count, "us", runs)
    size = len(text.encode())
    yield point("state.sheet_text", "workspaces", count, "B", [size])
    size = len(encode(command))
    yield point("state.sheet_bytes", "workspaces", count, "B", [size])
