#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")" || exit 2
rm -f record.txt
python3 case.py
code=$?
[ "$code" -le 1 ] && [ -s record.txt ] || exit 2
exit "$code"
