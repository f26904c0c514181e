#!/usr/bin/env bash
# Writes the generated pages of docs/ from the built programs.
set -euo pipefail
cd "$(dirname "$0")/.."
build/apricotctl docs results >docs/results.md
build/apricotctl docs events >docs/events.md
