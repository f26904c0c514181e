#!/usr/bin/env bash
# Runs days of the users' benchmark for each site: scripts/play.sh quiet|score|hunt|regression WHY.
# BENCH is the path of the benchmark program and SITES the folder of the site files; for regression it is the
# folder above, and the light days of the deployments below are scored. DAYS sets the number of days of a hunt.
# WHY is the reason for the run, for the journal; commit the journal entries.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=${1:?quiet, score, hunt or regression}
reason=${2:?reason for the run}
: "${BENCH:?path of the bench program}" "${SITES:?folder of the site files}"
# The benchmark measures processor time, and more runs in parallel would make the figures worse.
jobs=3
shopt -s nullglob
sites=("$SITES"/*.toml)
if [ "$mode" = regression ]; then
  sites=("$SITES"/{further,grown,further-grown,large}/*.toml)
fi
for site in "${sites[@]}"; do
  case $mode in
    quiet) "$BENCH" run "$site" quiet-1 --why "$reason" ;;
    score) "$BENCH" score "$site" --jobs $jobs --why "$reason" ;;
    regression) "$BENCH" score "$site" --quick --jobs $jobs --why "$reason" ;;
    hunt) "$BENCH" hunt "$site" --days "${DAYS:-40}" --jobs $jobs --why "$reason" ;;
    *) echo "unknown mode: $mode" >&2; exit 2 ;;
  esac
done
