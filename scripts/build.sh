#!/usr/bin/env bash
# Builds all targets: scripts/build.sh [FOLDER [CMAKE OPTION...]]. The default build folder is build.
# JOBS sets the number of parallel jobs, 10 by default.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=${1:-build}
shift || true
cmake -S . -B "$folder" -G Ninja "$@" >"/tmp/apricot-cmake.$$" || { cat "/tmp/apricot-cmake.$$"; exit 1; }
rm -f "/tmp/apricot-cmake.$$"
ninja -C "$folder" -j "${JOBS:-10}" --quiet
