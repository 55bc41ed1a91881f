#!/bin/sh
# The stand-ins need only the standard library of Python 3.11; this compiles
# them, so that an error shows before a case runs.
cd "$(dirname "$0")" || exit 2
exec python3 -m compileall -q common 1 2 3 4 5
