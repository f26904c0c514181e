#!/usr/bin/env bash
# Plays days of the users' bench: scripts/play.sh quiet|score|hunt|grown WHY. Needs BENCH, the path of
# the bench program, and SITES, the folder of the site files. The journal entries are to be committed.
set -euo pipefail
cd "$(dirname "$0")/.."
what=${1:?quiet, score, hunt or grown}
why=${2:?why the days are played}
: "${BENCH:?path of the bench program}" "${SITES:?folder of the site files}"
# Processor time is measured, so that more plays at a time make the figures worse.
jobs=3
for site in "$SITES"/*.toml; do
  case $what in
    quiet) "$BENCH" run "$site" quiet-1 --why "$why" ;;
    score | grown) "$BENCH" score "$site" --jobs $jobs --why "$why" ;;
    hunt) "$BENCH" hunt "$site" --days "${DAYS:-40}" --jobs $jobs --why "$why" ;;
    *) echo "unknown: $what" >&2; exit 2 ;;
  esac
done
