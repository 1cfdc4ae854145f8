#!/bin/sh
# Compile the stand-ins that the scripts start; they need the standard library alone.
cd "$(dirname "$0")" || exit 2
exec python3 -m compileall -q common-2
