"""Daemon under cProfile: ``python -m benchmarks.profiled PATH --settings F``.

SIGUSR1 starts the profile, so that the start of the process is left out,
and SIGUSR2 ends it and writes it to PATH.
"""

import cProfile
import pathlib
import signal
import sys

from chivescale import daemon


def main() -> int:
    """Install the signal handlers and run the daemon."""
    path = pathlib.Path(sys.argv[1])
    profile = cProfile.Profile()

    def finish(*_details) -> None:
        profile.disable()
        part = path.with_suffix(".part")
        profile.dump_stats(part)
        part.rename(path)

    signal.signal(signal.SIGUSR1, lambda *_details: profile.enable())
    signal.signal(signal.SIGUSR2, finish)
    return daemon.main(sys.argv[2:])


if __name__ == "__main__":
    sys.exit(main())
