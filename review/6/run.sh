#!/bin/sh
# TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case cannot run.
# The stand-ins use the packages of the build.
cd "$(dirname "$0")" && [ -d ../../target/deps ] || exit 2
PYTHONPATH="$PWD/../../target/deps" exec python3 case.py
