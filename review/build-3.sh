#!/bin/sh
# Builds the stand-ins of the cases, after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 1
test -d target/deps/zinniatrestle/standins || exit 1
python3 -m compileall -q target/deps/zinniatrestle/standins review/common-3
