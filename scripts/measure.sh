#!/usr/bin/env bash
# Measures: scripts/measure.sh policy [OPTION...] | loopback. Each kind ends within 45 s on an idle machine.
# docs/bench.md explains the figures.
set -euo pipefail
cd "$(dirname "$0")/.."
kind=${1:-}
shift || true
case "$kind" in
  policy)
    timeout 45 build/apricot-bench "$@"
    ;;
  loopback)
    timeout 45 scripts/measure_loopback.sh
    ;;
  *)
    echo "usage: scripts/measure.sh policy [OPTION...] | loopback" >&2
    exit 2
    ;;
esac
