"""Stand-in database endpoint for tests, demonstrations and benchmarks."""

from chivescale_standin._endpoint import Endpoint
from chivescale_standin._main import main
from chivescale_standin._messages import Fault, LogEntry, ReplicateReply
from chivescale_standin._settings import StandinSettings, load_settings

__all__ = [
    "Endpoint",
    "Fault",
    "LogEntry",
    "ReplicateReply",
    "StandinSettings",
    "load_settings",
    "main",
]
