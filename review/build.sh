#!/bin/sh
# Builds the stand-ins of the scripts. They are plain Python of the standard
# library, so that it is enough to see that they compile.
cd "$(dirname "$0")" || exit 1
exec python3 -m compileall -q stage 1 2 3
