#!/usr/bin/env bash
# Measures: scripts/measure.sh policy [OPTION...] | loopback | control. Each kind ends within 45 s on an idle machine.
# docs/bench.md explains the figures.
set -euo pipefail
cd "$(dirname "$0")/.."
kind=${1:-}
shift || true
case "$kind" in
  policy)
    timeout 45 build/apricot-bench "$@"
    ;;
  control)
    timeout 45 build/apricot-bench --control
    ;;
  loopback)
    timeout 45 scripts/measure_loopback.sh
    ;;
  *)
    echo "usage: scripts/measure.sh policy [OPTION...] | loopback | control" >&2
    exit 2
    ;;
esac
