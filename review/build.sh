#!/bin/sh
# The scripts start the hosts, and import the project's stand-ins, from target/deps, where
# the build of the deploy file puts both. Nothing else has to be built.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH="$PWD/target/deps" exec python3 -c "
import zinniatrestle.platform.daemon
import zinniatrestle.standins.wire
"
