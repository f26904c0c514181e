#!/usr/bin/env bash
# Loopback measurement of one entry host with real processes; called by scripts/measure.sh loopback.
# Prints one line per figure: name=value unit, and the bar where section 5 of the design states one.
set -euo pipefail
cd "$(dirname "$0")/.."
net=${net:-14}
controls=1 entries=1 services=10 replicas=3
. scripts/deployment.sh
folder=run/measure
start_deployment "$folder"
trap 'stop_deployment' EXIT
build/apricotctl --control "${control_admin[0]}" config submit examples/quickstart.toml >/dev/null
wait_for_coverage "${entry_http[0]}" inspection-desk

# Processor time of a process in clock ticks (1/100 s), and its resident memory in KiB.
ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
memory() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }
role_ticks() { local f sum=0; for f in "$folder"/$1*.pid; do sum=$((sum + $(ticks "$(cat "$f")"))); done; echo $sum; }
role_memory() { local f most=0 m; for f in "$folder"/$1*.pid; do m=$(memory "$(cat "$f")"); [ "$m" -gt "$most" ] && most=$m; done; echo $most; }
field() { grep -o "\"$1\":[0-9.]*" "$2" | head -1 | cut -d: -f2; }

entry_pid=$(cat "$folder/entry-1.pid")
# load NAME RATE SECONDS: runs the load and prints the figures of the entry host.
load() {
  local name=$1 rate=$2 time=$3 before after
  before=$(ticks "$entry_pid")
  build/apricot-load --entries "${entry_http[0]}" --collection inspection-desk --rate "$rate" \
    --time "${time}s" --timeout 2s --seed 1 --json >"$folder/load-$name.json"
  after=$(ticks "$entry_pid")
  awk -v name="$name" -v time="$time" -v ticks=$((after - before)) \
    -v subs="$(field subrequests "$folder/load-$name.json")" \
    -v p50="$(field p50_ms "$folder/load-$name.json")" \
    -v p99="$(field p99_ms "$folder/load-$name.json")" \
    -v coverage="$(field coverage "$folder/load-$name.json")" 'BEGIN {
      printf "%s: subrequests_per_s=%.0f entry_cores=%.2f us_per_subrequest=%.1f ", name, subs / time,
        ticks / 100 / time, ticks * 10000 / subs
      # The stand-in serves every sub-request in 2 ms; what is above it was added on the way.
      printf "p50_ms=%.2f p99_ms=%.2f added_p50_ms=%.2f added_p99_ms=%.2f coverage=%.4f\n", p50, p99,
        p50 - 2, p99 - 2, coverage }'
}

echo "load average: $(cut -d' ' -f1-3 /proc/loadavg)"
# A quarter of the bar: 3,125 sub-requests/s are 312 queries/s of 10 shards.
load quarter 312 5
echo "bars: subrequests_per_s at least 12500 on entry_cores at most 2 (full); added_p50_ms at most 1 and added_p99_ms at most 3 (quarter)"
# The bar: 12,500 sub-requests/s.
load full 1250 5
# Beyond the bar, to find the limit.
load beyond 2500 4
echo "memory of the largest process: entry=$(role_memory entry) KiB control=$(role_memory control) KiB upstream=$(role_memory service) KiB"
echo "processor time since start: entry=$(role_ticks entry)0 ms control=$(role_ticks control)0 ms upstreams=$(role_ticks service)0 ms"

# Time from the drain of a replica until the entry host sends it no new work, by its table.
curl -s -m 2 -X POST -d '{}' "http://127.$net.3.1:7300/v1/drain" >/dev/null
start=$(date +%s%N)
for _ in $(seq 200); do
  curl -s -m 2 "http://${entry_http[0]}/v1/status" | grep -q draining && break
  sleep 0.01
done
echo "time_to_drained_ms=$((($(date +%s%N) - start) / 1000000)) (bar: 2000)"
stop_deployment
trap - EXIT
