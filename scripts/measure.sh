#!/usr/bin/env bash
# Usage: scripts/measure.sh policy [OPTION...] | loopback | control
# Each measurement takes at most 45 s on an idle machine. docs/bench.md explains the results.
#   policy    the decision bench in virtual time, with the options of apricot-bench
#   loopback  one entry host with real processes on loopback addresses
#   control   the cost of control-plane work on one node
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
