"""Run the random drivers with random seeds until the time is over.

Prints the seed of the first failure with the command that repeats it; the
exit code is 1 then.
"""

import argparse
import importlib
import os
import pathlib
import random
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Module with `run_random(seed, steps)` and the number of steps.
DRIVERS = {
    "chivescale.agreement.tests.random_runs": 200,
    "chivescale.failover.tests.failover_driver": 40,
    "chivescale.session.tests.random_run": 1200,
    "chivescale.limits.tests.random_limits": 200,
    "chivescale.entry.tests.random_system": 30,
}
# Program that runs the real roles as processes, and the seconds of one run.
PROCESS_SOAK = "platform/tests/soak.py"
PROCESS_SECONDS = 15
MAX_SEED = 1 << 30
# A history of the whole system takes about 15 s; one that hangs has failed.
RUN_TIMEOUT_S = 300.0


def available() -> dict[str, int]:
    """Return the drivers whose module exists."""
    return {
        name: steps
        for name, steps in DRIVERS.items()
        if (ROOT / (name.replace(".", "/") + ".py")).exists()
    }


def command(module: str, seed: int, steps: int) -> list[str]:
    """Return the command line of one run."""
    return [
        sys.executable,
        "-m",
        "tools.soak",
        *("--driver", module),
        *("--seed", str(seed)),
        *("--steps", str(steps)),
    ]


def process_command(seed: int) -> list[str]:
    """Return the command line of one run with real processes."""
    return [
        sys.executable,
        str(ROOT / PROCESS_SOAK),
        *("--seed", str(seed)),
        *("--seconds", str(PROCESS_SECONDS)),
    ]


def run_one(module: str, seed: int, steps: int) -> int:
    """Run one history in this process."""
    importlib.import_module(module).run_random(seed, steps)
    return 0


def soak(seed: int, minutes: float) -> int:
    """Run the drivers in turn until the time is over or one fails."""
    drivers = available()
    for name in set(DRIVERS) - set(drivers):
        print(f"soak: no driver {name}", flush=True)
    rng = random.Random(seed)
    until = time.monotonic() + minutes * 60
    # The order of sets must not differ between a run and its repetition.
    environment = dict(os.environ, PYTHONPATH=str(ROOT), PYTHONHASHSEED="0")
    runs = 0
    print(f"soak: seed {seed}", flush=True)
    while time.monotonic() < until:
        for module, steps in drivers.items():
            line = command(module, rng.randrange(MAX_SEED), steps)
            if not _passes(line, environment):
                print(f"soak: failed after {runs} runs; repeat with")
                print(f"PYTHONHASHSEED=0 {' '.join(line)}", flush=True)
                return 1
            runs += 1
        line = process_command(rng.randrange(MAX_SEED))
        if not _passes(line, environment):
            print(f"soak: failed after {runs} runs; repeat with")
            print(" ".join(line), flush=True)
            return 1
        runs += 1
    print(f"soak: ok, {runs} runs")
    return 0


def _passes(line: list[str], environment: dict[str, str]) -> bool:
    try:
        done = subprocess.run(
            line,
            check=False,
            cwd=ROOT,
            env=environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            errors="replace",
            timeout=RUN_TIMEOUT_S,
        )
    except subprocess.TimeoutExpired:
        print(f"soak: no end within {RUN_TIMEOUT_S:g} s")
        return False
    if done.returncode:
        print(done.stdout[-4000:])
    return done.returncode == 0


def main() -> int:
    """Run the soak, or one history with ``--driver``."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", default="random")
    parser.add_argument("--minutes", type=float, default=5.0)
    parser.add_argument("--driver", choices=list(DRIVERS))
    parser.add_argument("--steps", type=int, default=0)
    options = parser.parse_args()
    seed = options.seed
    seed = random.randrange(MAX_SEED) if seed == "random" else int(seed)
    if options.driver:
        steps = options.steps or DRIVERS[options.driver]
        return run_one(options.driver, seed, steps)
    return soak(seed, options.minutes)


if __name__ == "__main__":
    sys.exit(main())
