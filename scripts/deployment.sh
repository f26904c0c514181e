# Functions that start and stop a small deployment on loopback addresses. Sourced by other scripts.
# The control hosts use 127.$net.1.N, the entry hosts 127.$net.2.N and the upstreams 127.$net.3.N.
# net (0 to 255), controls, entries, services and replicas can be set before sourcing. Deployments that run
# at the same time need different values of net. entry_extra, if set, holds lines that are added to the
# settings of each entry host.

net=${net:-0}
controls=${controls:-3}
entries=${entries:-3}
services=${services:-10}
replicas=${replicas:-3}
centres=(bolu duzce sakarya)
control_admin=()
control_rpc=()
control_members=()
entry_http=()
deployment_pids=()

toml_list() {
  local out="" item
  for item in "$@"; do out="$out\"$item\", "; done
  echo "[${out%, }]"
}

# tls_table NAME: prints the [tls] table for the settings of a host.
tls_table() {
  printf '[tls]\ncertificate = "%s"\nkey = "%s"\nauthorities = "%s"' \
    "$folder/tls/$1.pem" "$folder/tls/$1.key" "$folder/tls/authorities.pem"
}

# start_process NAME PROGRAM: starts build/PROGRAM with the settings $folder/NAME.toml and records its
# process id.
start_process() {
  build/"$2" --settings "$folder/$1.toml" >"$folder/$1.log" 2>&1 &
  deployment_pids+=($!)
  echo $! >>"$folder/pids"
  echo $! >"$folder/$1.pid"
}

# start_deployment FOLDER: starts all processes. Settings, data and logs go to FOLDER, which is deleted
# first.
start_deployment() {
  folder=$1
  rm -rf "$folder"
  mkdir -p "$folder"
  local n s r index=0
  for n in $(seq "$controls"); do
    control_admin+=("127.$net.1.$n:7100")
    control_rpc+=("127.$net.1.$n:7101")
    control_members+=("control-$n 127.$net.1.$n:7102")
  done
  for n in $(seq "$entries"); do entry_http+=("127.$net.2.$n:7200"); done
  local hosts=()
  for n in $(seq "$controls"); do hosts+=("control-$n=127.$net.1.$n"); done
  for n in $(seq "$entries"); do hosts+=("entry-$n=127.$net.2.$n"); done
  scripts/make-certificates.sh "$folder/tls" "${hosts[@]}"
  for n in $(seq "$controls"); do
    cat >"$folder/control-$n.toml" <<TOML
host = "control-$n"
data_folder = "$folder/control-$n"
admin_address = "${control_admin[n - 1]}"
rpc_address = "${control_rpc[n - 1]}"
peer_address = "127.$net.1.$n:7102"
initial_members = $(toml_list "${control_members[@]}")
$(tls_table "control-$n")
TOML
    start_process "control-$n" apricot-control
  done
  for n in $(seq "$entries"); do
    cat >"$folder/entry-$n.toml" <<TOML
host = "entry-$n"
data_centre = "${centres[(n - 1) % 3]}"
address = "${entry_http[n - 1]}"
peer_address = "127.$net.2.$n:7201"
control = $(toml_list "${control_rpc[@]}")
${entry_extra:-}
$(tls_table "entry-$n")
TOML
    start_process "entry-$n" apricot-entry
  done
  for s in $(seq "$services"); do
    for r in $(seq "$replicas"); do
      index=$((index + 1))
      cat >"$folder/service-$s-$r.toml" <<TOML
id = "service-$s-$r"
service = "service-$s"
data_centre = "${centres[(r - 1) % 3]}"
address = "127.$net.3.$index:7300"
entries = $(toml_list "${entry_http[@]}")
slots = 5
connections = 40
service_time = "2ms"
TOML
      start_process "service-$s-$r" apricot-upstream
    done
  done
}

# wait_for_coverage ADDRESS COLLECTION: waits until the entry host at ADDRESS answers a query to the
# collection with full coverage. Gives up after 100 attempts with pauses of 0.2 s, which take 20 s or more.
wait_for_coverage() {
  local i
  for i in $(seq 100); do
    if curl -s -m 2 -d "{\"collection\":\"$2\",\"query\":\"ready\"}" "http://$1/v1/query" |
      grep -q '"name":"Ok"'; then
      return 0
    fi
    sleep 0.2
  done
  echo "no full coverage of $2 from $1 within 20 s; see $folder/*.log" >&2
  return 1
}

# Stops all processes and waits for them. Fails if one of them exits with an error.
stop_deployment() {
  local pid failed=0
  kill "${deployment_pids[@]}" 2>/dev/null || true
  for pid in "${deployment_pids[@]}"; do
    wait "$pid" || failed=$((failed + 1))
  done
  deployment_pids=()
  if [ "$failed" -ne 0 ]; then
    echo "$failed processes did not stop cleanly; see $folder/*.log" >&2
    return 1
  fi
}

# submit_config FILE [OPTION...]: submits a configuration. The control hosts have to elect a leader first,
# so it retries and gives up after 40 attempts with pauses of 0.5 s, which take 20 s or more. The options
# are passed on to apricotctl.
submit_config() {
  local i options=()
  for address in "${control_admin[@]}"; do options+=(--control "$address"); done
  for i in $(seq 40); do
    if build/apricotctl "${options[@]}" config submit "$@" >"$folder/submit.out" 2>&1; then
      cat "$folder/submit.out"
      return 0
    fi
    sleep 0.5
  done
  cat "$folder/submit.out" >&2
  return 1
}
