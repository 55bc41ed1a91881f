#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")" || exit 2
rm -f record.txt
timeout -k 5 112 python3 case.py
code=$?
# Only the last line of a whole run tells that the rule was broken.
if [ $code -eq 1 ] && ! grep -q " exit code=1 " record.txt; then
    code=2
fi
[ $code -le 2 ] || code=2
exit $code
