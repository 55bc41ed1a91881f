"""Startup, signal handling and graceful shutdown of a host."""

import asyncio
import os
import signal
import typing

from chivescale.errors import ErrorKind, Failure, is_failure
from chivescale.settings import Settings
from chivescale.telemetry import Metrics, log_event

SIGNALS = (signal.SIGTERM, signal.SIGINT)
# Time limit per component, so that one that hangs cannot block the exit.
STOP_TIMEOUT_S = 5.0
DRAIN_EXTRA_S = 1.0
EXIT_SECOND_SIGNAL = 1


async def run(settings: Settings, secret: bytes) -> bool | Failure:
    """Run the configured roles until a signal arrives.

    Returns
    -------
    bool or Failure
        Whether the shutdown was graceful, or why the host did not start.
    """
    stopping = asyncio.Event()
    _install_signal_handlers(stopping)
    asyncio.get_running_loop().set_exception_handler(_log_exception)
    metrics = Metrics(settings.listen.metrics)
    try:
        hosts = _create_hosts(settings, secret, metrics)
    except OSError as err:  # includes unusable certificates
        return Failure(ErrorKind.SETTINGS_INVALID, _error_text(err))
    started: list[typing.Any] = []
    for component in [metrics, *hosts]:
        failure = await _start(component)
        if failure is not None:
            await _stop_all(started)
            return failure
        started.append(component)
    log_event("started", roles=",".join(settings.host.roles))
    await stopping.wait()
    drained = await _drain(hosts, settings.entry.drain_timeout_s)
    stopped = await _stop_all(started)
    log_event("stopped", graceful=drained and stopped)
    return drained and stopped


def _create_hosts(settings: Settings, secret: bytes, metrics: Metrics) -> list:
    """Create the hosts in start order.

    Modules of a role are imported only by processes that have it, which saves
    memory.
    """
    hosts: list[typing.Any] = []
    if "control" in settings.host.roles:
        from chivescale.control import ControlHost

        hosts.append(ControlHost(settings, secret, metrics))
    if "entry" in settings.host.roles:
        from chivescale.entry import EntryHost

        hosts.append(EntryHost(settings, secret, metrics))
    return hosts


async def _start(component: typing.Any) -> Failure | None:
    try:
        outcome = await component.start()
    except OSError as err:  # address in use, inaccessible folder
        return Failure(ErrorKind.SETTINGS_INVALID, _error_text(err))
    return outcome if is_failure(outcome) else None


async def _drain(hosts: list, timeout_s: float) -> bool:
    """Drain the hosts that serve callers; return whether all work ended."""
    drains = [host.drain() for host in hosts if hasattr(host, "drain")]
    if not drains:
        return True
    log_event("draining", timeout_s=timeout_s)
    try:
        # Each host limits its own drain time; this catches one that hangs.
        async with asyncio.timeout(timeout_s + DRAIN_EXTRA_S):
            complete = all(await asyncio.gather(*drains))
    except TimeoutError:
        complete = False
    if not complete:
        log_event("drain_cut_short", "warning", timeout_s=timeout_s)
    return complete


async def _stop_all(started: list) -> bool:
    """Stop the components in reverse start order."""
    graceful = True
    for component in reversed(started):
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await component.stop()
        except TimeoutError:
            name = type(component).__name__
            log_event("stop_cut_short", "warning", part=name)
            graceful = False
    return graceful


def _install_signal_handlers(stopping: asyncio.Event) -> None:
    loop = asyncio.get_running_loop()

    def handle(name: str) -> None:
        if stopping.is_set():
            log_event("second_signal", "warning", signal=name)
            # Not sys.exit: cancelled tasks could delay the exit again.
            os._exit(EXIT_SECOND_SIGNAL)
        log_event("signal", signal=name)
        stopping.set()

    for number in SIGNALS:
        loop.add_signal_handler(number, handle, number.name)
    loop.add_signal_handler(
        signal.SIGHUP,
        lambda: log_event("settings_not_read", reason="read at start only"),
    )


def _log_exception(_loop, context: dict) -> None:
    log_event(
        "task_error",
        "error",
        message=context.get("message", ""),
        error=repr(context.get("exception")),
    )


def _error_text(err: OSError) -> str:
    text = err.strerror or str(err)
    return f"{err.filename}: {text}" if err.filename else text
