#!/usr/bin/env bash
# Installs the packages, builds, starts a small deployment on loopback addresses, submits a configuration,
# sends a query, prints the answer and stops the deployment. With --keep the deployment keeps running.
set -euo pipefail
cd "$(dirname "$0")/.."
keep=no
case "${1:-}" in
  --keep) keep=yes ;;
  "") ;;
  *) echo "usage: scripts/quickstart.sh [--keep]" >&2; exit 2 ;;
esac
scripts/install.sh
scripts/build.sh build
. scripts/deployment.sh
start_deployment run/quickstart
trap 'stop_deployment' EXIT
echo "submitting examples/quickstart.toml"
submit_config examples/quickstart.toml
wait_for_coverage "${entry_http[0]}" inspection-desk
echo "answer:"
curl -sS --fail-with-body -H 'content-type: application/json' -H 'x-request-id: quickstart-1' \
  -d '{"collection":"inspection-desk","query":"card 4711"}' "http://${entry_http[0]}/v1/query" |
  tee run/quickstart/answer.json
echo
grep -q '"name":"Ok"' run/quickstart/answer.json
if [ "$keep" = yes ]; then
  trap - EXIT
  echo "The deployment keeps running. Logs: run/quickstart/*.log. Stop it with:"
  echo "  kill \$(cat run/quickstart/pids)"
else
  stop_deployment
  trap - EXIT
  echo "everything stopped gracefully"
fi
