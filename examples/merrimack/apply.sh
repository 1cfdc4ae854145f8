#!/usr/bin/env bash
# Apply the grants template and its four client accounts, a few of them large.
set -euo pipefail
cd "$(dirname "$0")"
zinniatrestle template put grants.toml
zinniatrestle account apply arts --template grants --param sweep_racks=1 --param slot_share=4
zinniatrestle account apply recreation --template grants --param sweep_workers=2 --param slot_share=2
zinniatrestle account apply seniors --template grants
zinniatrestle account apply libraries --template grants
zinniatrestle config status --wait
