"""The operator of a deployment: sends configurations and reads them back."""

import json
import time

from harness_2.system import call


def make_config(version: int, timeout_ms: int = 800) -> dict:
    """Return a configuration with one route."""
    route = {
        "name": "r-1",
        "host": "orders",
        "path_prefix": "/",
        "route_type": "primary",
        "timeout_ms": timeout_ms,
        "target_latency_ms": 150,
        "priority": 1,
        "service": "ledger",
        "max_attempts": 2,
    }
    service = {
        "name": "ledger",
        "health_path": "/health",
        "max_conns": 34,
        "protocol": "h1",
        "tls": False,
        "sync_replicas": 0,
    }
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 262144,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
        "tx_idle_ms": 3000,
    }
    return {
        "version": version,
        "routes": [route],
        "services": [service],
        "limits": limits,
    }


class Operator:
    """Sends one configuration after the other.

    Attributes
    ----------
    version : int
        Version sent last.
    acknowledged : int
        Newest version that was acknowledged.
    acknowledged_at : float
        When, on the steady clock.
    """

    def __init__(self, record):
        self.record = record
        self.version = 0
        self.acknowledged = 0
        self.acknowledged_at = 0.0

    def put(self, machines, limit_s: float, pause_s: float = 0.1) -> bool:
        """Send the next version to the machines in turn until one accepts."""
        self.version += 1
        body = make_config(self.version, 800 + self.version % 100)
        until = time.monotonic() + limit_s
        turn = self.version
        while time.monotonic() < until:
            machine = machines[turn % len(machines)]
            turn += 1
            status, _ = call(machine.control, "POST", "/v1/config/put", body)
            self.record(
                "put",
                machine=machine.name,
                version=self.version,
                status=status,
            )
            if status == 200:
                self.acknowledged = self.version
                self.acknowledged_at = time.monotonic()
                return True
            time.sleep(pause_s)
        return False

    def read(self, machine) -> int:
        """Return the version that a machine answers; 0 if it answers none."""
        status, body = call(machine.control, "GET", "/v1/config/get")
        version = json.loads(body)["version"] if status == 200 else 0
        self.record(
            "read", machine=machine.name, status=status, version=version
        )
        return version


def status_of(machine) -> dict:
    """Return what a control machine says about its group."""
    status, body = call(machine.control, "POST", "/v1/status", {})
    return json.loads(body) if status == 200 else {}
