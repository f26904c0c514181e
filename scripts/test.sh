#!/usr/bin/env bash
# Installs, builds and runs the tests. Fixed seeds and virtual clocks: the same verdict every run.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh build
build/apricot-tests
