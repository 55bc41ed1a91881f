"""Configurations of a small deployment, as operators send them."""

import random
import string

SERVICE = "huvo11a"
# The three routes of the service: kind, time limit, goal, accepted staleness.
ROUTES = {
    "lepu270": ("primary", 800, 150, 0),
    "xapu221ny95": ("bounded_staleness", 2000, 500, 1500),
    "fiti832ti23": ("read_your_writes", 800, 250, 2500),
}


def _word(rng: random.Random, length: int) -> str:
    return "".join(
        rng.choices(string.ascii_lowercase + string.digits, k=length)
    )


def _route(name: str, database: str, kind: tuple) -> dict:
    route_type, timeout_ms, goal_ms, stale_ms = kind
    route = {
        "name": name,
        "host": database,
        "path_prefix": "/",
        "route_type": route_type,
        "timeout_ms": timeout_ms,
        "target_latency_ms": goal_ms,
        "priority": 1,
        "service": SERVICE,
        "max_attempts": 2,
    }
    if stale_ms:
        route["max_staleness_ms"] = stale_ms
    return route


def make_config(version: int, extra_routes: int = 0) -> dict:
    """Return a complete configuration.

    Parameters
    ----------
    version : int
        Version; it also varies a time limit of the extra routes.
    extra_routes : int
        Routes beside the three of the service; the same at each call.
    """
    rng = random.Random(1)
    routes = [
        _route(f"r-{_word(rng, 7)}", database, kind)
        for database, kind in ROUTES.items()
    ]
    for _ in range(extra_routes):
        kind = rng.choice(list(ROUTES.values()))
        database = f"{_word(rng, 4)}{rng.randint(100, 999)}{_word(rng, 4)}"
        routes.append(_route(f"r-{_word(rng, 7)}", database, kind))
    for route in routes[3:]:
        route["timeout_ms"] += version
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": SERVICE,
                "health_path": "/health",
                "max_conns": 82,
                "protocol": "h1",
                "tls": False,
                "sync_replicas": 0,
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
            "tx_idle_ms": 3000,
        },
    }
