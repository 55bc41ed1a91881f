"""The size to come, its budgets, and the layout planned for it."""

import msgspec

DAY_S = 86_400.0


class Size(msgspec.Struct, frozen=True):
    """Requirements of section 1.6 of the design and one reading of them.

    Attributes
    ----------
    group : int
        Endpoints that one of the databases has.
    rack_hosts, rack_primaries : int
        Assumed loss with one rack or switch.
    """

    label: str
    group: int
    hosts: int = 3_200
    services: int = 11_000
    workspaces: int = 11_000
    callers: int = 7_600_000
    statements: float = 12e6
    regions: int = 6
    zones: int = 24
    primary_changes: int = 20
    changes: int = 6_500
    failures: int = 18
    restarts: int = 2_600
    control_hosts: int = 35
    rack_hosts: int = 40
    rack_primaries: int = 40

    @property
    def endpoints(self) -> int:
        """Endpoints in all."""
        return self.services * self.group

    @property
    def host_changes_a_day(self) -> int:
        """Log entries for hosts: each restart removes and registers one."""
        return 2 * (self.restarts + self.failures)


SIZES = (
    Size("11,000 endpoints", group=1),
    Size("33,000 endpoints", group=3),
)

# The size of today with the larger of its host numbers; the workspaces are
# an assumption.
NOW = (
    Size(
        "17 hosts, 9 endpoints",
        group=3,
        hosts=17,
        services=3,
        workspaces=100,
        regions=1,
        zones=4,
        primary_changes=2,
        changes=24,
        failures=1,
        restarts=17,
        control_hosts=5,
    ),
)

# The process of the statement series: one host that watches one service.
ONE = Size(
    "one host, one service",
    group=3,
    hosts=1,
    services=1,
    workspaces=2,
    changes=0,
    primary_changes=0,
    failures=0,
    restarts=0,
)

# Budgets of section 1.6. The 35 control hosts are set aside, so their
# processes may use half a core; the other half stays for bursts.
HOST_CPU_US = 0.024 * 1e6
HOST_MEMORY = 256 * 2**20
HOST_BYTES = 8 * 2**10
CONTROL_CPU_US = 0.5 * 1e6
IN_FORCE_S = 4.0
PRIMARY_CHANGE_S = 12.0


class Layout(msgspec.Struct, frozen=True):
    """How the work is divided; durations in seconds.

    Attributes
    ----------
    groups, members : int
        Control groups that share hosts and services, and hosts in each.
    homes : int
        Entry hosts that know one service; 0 for all.
    heartbeat_s, lease_s, announce_s, probe_s, watch_s : float
        Intervals of heartbeats, lease renewals, announcements and probes,
        and how long a watch waits.
    probing : int
        Watchers of a service that probe at the interval; the others probe
        only after a suspicion.
    relay_unchanged : bool
        Whether an entry host passes on announcements without a change.
    filtered : bool
        Whether a host watches only its own services.
    changes_only : bool
        Whether a configuration change is a command of its own rather than
        a whole sheet.
    """

    label: str
    groups: int = 1
    members: int = 5
    homes: int = 0
    heartbeat_s: float = 1.0
    lease_s: float = 1.0
    announce_s: float = 1.0
    probe_s: float = 0.1
    watch_s: float = 2.0
    watches: int = 2
    watchers: int = 3
    probing: int = 3
    relay_unchanged: bool = True
    filtered: bool = False
    changes_only: bool = False


TODAY = Layout("today's code")

ALONE = Layout("one host", members=3, watchers=1, probing=1)

# One group per region and one for the sheet numbers: 6 x 5 + 5 = 35 hosts.
PLANNED = Layout(
    "planned layout",
    groups=6,
    homes=3,
    heartbeat_s=1.0,
    lease_s=6.0,
    announce_s=5.0,
    probe_s=3.0,
    probing=1,
    relay_unchanged=False,
    filtered=True,
    changes_only=True,
)


class Share(msgspec.Struct, frozen=True):
    """What one host, group or member has to do with in a layout."""

    group_hosts: float
    group_services: float
    group_endpoints: float
    host_services: float
    host_endpoints: float
    sharers: float
    probed: float
    watches_per_member: float
    announced: float


def share_of(size: Size, layout: Layout) -> Share:
    """Divide a size by a layout."""
    homes = layout.homes or size.hosts
    services = size.services * homes / size.hosts
    group_hosts = size.hosts / layout.groups
    return Share(
        group_hosts,
        size.services / layout.groups,
        size.endpoints / layout.groups,
        services,
        services * size.group,
        homes,
        size.endpoints * layout.probing / size.hosts,
        group_hosts * layout.watches / layout.members,
        size.endpoints / size.hosts,
    )
