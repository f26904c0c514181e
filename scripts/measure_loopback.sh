#!/usr/bin/env bash
# Measures one entry host with real processes on loopback addresses. Called by scripts/measure.sh loopback.
# Prints each measured value as name=value, and the acceptance threshold ("bar") where section 5 of the design page
# states one.
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

# Processor time of a process in clock ticks of 1/100 s, and its resident memory in KiB. The role_ functions take the
# prefix of the process names: role_ticks sums over the processes, role_memory returns the largest value.
cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
resident_kib() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }
role_ticks() { local f sum=0; for f in "$folder"/$1*.pid; do sum=$((sum + $(cpu_ticks "$(cat "$f")"))); done; echo $sum; }
role_memory() { local f most=0 m; for f in "$folder"/$1*.pid; do m=$(resident_kib "$(cat "$f")"); [ "$m" -gt "$most" ] && most=$m; done; echo $most; }
json_field() { grep -o "\"$1\":[0-9.]*" "$2" | head -1 | cut -d: -f2; }

entry_pid=$(cat "$folder/entry-1.pid")
# run_load NAME RATE SECONDS: sends RATE queries/s and prints throughput, processor time and latencies.
run_load() {
  local name=$1 rate=$2 time=$3 before after
  before=$(cpu_ticks "$entry_pid")
  build/apricot-load --entries "${entry_http[0]}" --collection inspection-desk --rate "$rate" \
    --time "${time}s" --timeout 2s --seed 1 --json >"$folder/load-$name.json"
  after=$(cpu_ticks "$entry_pid")
  awk -v name="$name" -v time="$time" -v ticks=$((after - before)) \
    -v subs="$(json_field subrequests "$folder/load-$name.json")" \
    -v p50="$(json_field p50_ms "$folder/load-$name.json")" \
    -v p99="$(json_field p99_ms "$folder/load-$name.json")" \
    -v coverage="$(json_field coverage "$folder/load-$name.json")" 'BEGIN {
      printf "%s: subrequests_per_s=%.0f entry_cores=%.2f us_per_subrequest=%.1f ", name, subs / time,
        ticks / 100 / time, ticks * 10000 / subs
      # The upstreams have a service time of 2 ms. The rest of the latency is overhead.
      printf "p50_ms=%.2f p99_ms=%.2f added_p50_ms=%.2f added_p99_ms=%.2f coverage=%.4f\n", p50, p99,
        p50 - 2, p99 - 2, coverage }'
}

echo "load average: $(cut -d' ' -f1-3 /proc/loadavg)"
# A quarter of the threshold: 3,125 sub-requests/s, which is 312 queries/s with 10 shards each.
run_load quarter 312 5
echo "bars: subrequests_per_s at least 12500 on entry_cores at most 2 (full); added_p50_ms at most 1 and added_p99_ms at most 3 (quarter)"
# The threshold: 12,500 sub-requests/s.
run_load full 1250 5
# Twice the threshold, to find the limit.
run_load beyond 2500 4
echo "memory of the largest process: entry=$(role_memory entry) KiB control=$(role_memory control) KiB upstream=$(role_memory service) KiB"
echo "processor time since start: entry=$(role_ticks entry)0 ms control=$(role_ticks control)0 ms upstreams=$(role_ticks service)0 ms"

# Time from the drain request to a replica until the upstream table of the entry host shows it as draining. From then on
# the entry host sends it no new sub-requests.
curl -s -m 2 -X POST -d '{}' "http://127.$net.3.1:7300/v1/drain" >/dev/null
start=$(date +%s%N)
for _ in $(seq 200); do
  curl -s -m 2 "http://${entry_http[0]}/v1/status" | grep -q draining && break
  sleep 0.01
done
echo "time_to_drained_ms=$((($(date +%s%N) - start) / 1000000)) (bar: 2000)"
stop_deployment
trap - EXIT
