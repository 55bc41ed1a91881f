"""Program ``chivescale-standin``."""

import asyncio
import signal
import sys

from chivescale.errors import is_failure
from chivescale.telemetry import setup_logging
from chivescale_standin._endpoint import Endpoint
from chivescale_standin._settings import StandinSettings, load_settings


async def serve_endpoint(settings: StandinSettings) -> None:
    """Run an endpoint until SIGTERM or SIGINT."""
    endpoint = Endpoint(settings)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await endpoint.start()
    # Whoever started the program reads the ports from this line.
    print(
        f"ready name={settings.name} mysql={endpoint.mysql_address}"
        f" admin={endpoint.admin_address}",
        flush=True,
    )
    await stop.wait()
    await endpoint.close()


def main(arguments: list[str] | None = None) -> int:
    """Run the program; the exit code is 2 for invalid settings."""
    settings = load_settings(sys.argv[1:] if arguments is None else arguments)
    if is_failure(settings):
        print(f"chivescale-standin: {settings.reason}", file=sys.stderr)
        return 2
    setup_logging(settings.name, "info")
    asyncio.run(serve_endpoint(settings))
    return 0
