"""Failure detection and failover of database groups, without I/O."""

from chivescale.failover._attempt import Attempt
from chivescale.failover._detector import (
    Detector,
    ProbeAnswered,
    ProbeFailed,
    ProbeSent,
    SendProbe,
)
from chivescale.failover._events import (
    Announced,
    AskPosition,
    Committed,
    LeadershipLost,
    LogPhase,
    PositionAnswered,
    PromiseAnswered,
    PromoteAnswered,
    ProposalFailed,
    Propose,
    RequestFailed,
    SendFollow,
    SendPromise,
    SendPromote,
    StateApplied,
    Tick,
    VerdictReached,
)
from chivescale.failover._failover import Failover
from chivescale.failover._group import Timing
from chivescale.failover._plan import Plan
from chivescale.failover._verdicts import AgreedVerdict, Verdicts
from chivescale.failover._watcher import (
    Probe,
    ProbeError,
    ProbeReply,
    Report,
    Watcher,
    WatchService,
)

__all__ = [
    "AgreedVerdict",
    "Announced",
    "AskPosition",
    "Attempt",
    "Committed",
    "Detector",
    "Failover",
    "LeadershipLost",
    "LogPhase",
    "Plan",
    "PositionAnswered",
    "Probe",
    "ProbeAnswered",
    "ProbeError",
    "ProbeFailed",
    "ProbeReply",
    "ProbeSent",
    "PromiseAnswered",
    "PromoteAnswered",
    "ProposalFailed",
    "Propose",
    "Report",
    "RequestFailed",
    "SendFollow",
    "SendProbe",
    "SendPromise",
    "SendPromote",
    "StateApplied",
    "Tick",
    "Timing",
    "VerdictReached",
    "Verdicts",
    "WatchService",
    "Watcher",
]
