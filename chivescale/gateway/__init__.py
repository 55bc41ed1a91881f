"""Entry hosts that run statements for other entry hosts.

Where an endpoint accepts fewer connections than there are entry hosts, a few
hosts hold the connections and the others forward statements to them.
"""

from chivescale.gateway._messages import (
    Answer,
    Bye,
    Hello,
    Ping,
    Pong,
    Rollback,
    Run,
    ToGateway,
)
from chivescale.gateway._peer import MAX_FRAME_BYTES, Peer
from chivescale.gateway._plan import gateways_of

__all__ = [
    "MAX_FRAME_BYTES",
    "Answer",
    "Bye",
    "Hello",
    "Peer",
    "Ping",
    "Pong",
    "Rollback",
    "Run",
    "ToGateway",
    "gateways_of",
]
