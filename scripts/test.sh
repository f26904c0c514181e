#!/usr/bin/env bash
# Installs the packages, builds and runs all tests. Seeds are fixed and simulations use virtual clocks, so
# that results are reproducible.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh build
build/apricot-tests
