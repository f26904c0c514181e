#!/usr/bin/env bash
# Regenerates docs/results.md and docs/events.md from the tables compiled into build/apricotctl.
set -euo pipefail
cd "$(dirname "$0")/.."
build/apricotctl docs results >docs/results.md
build/apricotctl docs events >docs/events.md
