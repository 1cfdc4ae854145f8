#!/usr/bin/env bash
# Apply Club Chaska's template and its four client accounts, a few of them large.
set -euo pipefail
cd "$(dirname "$0")"
zinniatrestle template put franchise.toml
zinniatrestle account apply lima-norte --template franchise --param timetable_workers=4 --param slot_share=4
zinniatrestle account apply lima-sur --template franchise --param timetable_workers=2 --param slot_share=2
zinniatrestle account apply arequipa-centro --template franchise
zinniatrestle account apply trujillo-mar --template franchise
zinniatrestle config status --wait
