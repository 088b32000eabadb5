#!/usr/bin/env bash
# Measures the cost of the control plane for each daemon at several sizes. Arguments are sizes
# DAEMONS:POOLS:MODELS:ADAPTERS; without any, the sizes of docs/CAPACITY.md are measured. With only
# one size, the names of the figures do not contain it.
set -euo pipefail
cd "$(dirname "$0")/.."
source _scripts/processes.sh

measure() { # DAEMONS POOLS MODELS ADAPTERS
  local count=$1 i
  read -r -a port <<<"$(bin/azurehitch-standin ports $((7 + 3 * count)))"
  log=${port[0]} hosts=${port[1]} weights=${port[2]}
  engines=("${port[@]:3:4}") desks=()
  callers=("${port[@]:7:count}") peers=("${port[@]:7+count:count}") admins=("${port[@]:7+2*count:count}")
  first_process=${#pids[@]}
  start log bin/azurehitch-standin log --listen "127.0.0.1:$log"
  start hosts bin/azurehitch-standin hosts --listen "127.0.0.1:$hosts" --lag 0s
  start weights bin/azurehitch-standin weights --listen "127.0.0.1:$weights"
  for i in 0 1 2 3; do
    start "engine-$i" bin/azurehitch-standin engine --name "engine-$i" --listen "127.0.0.1:${engines[i]}" --weights "127.0.0.1:$weights"
  done
  for i in "$log" "$hosts" "$weights" "${engines[@]}"; do await "port $i" is_listening "$i"; done
  local first_daemon=${#pids[@]}
  for ((i = 0; i < count; i++)); do
    add_host "daemon-$i" "${peers[i]}" EntryHost
    start "daemon-$i" bin/azurehitch serve --name "daemon-$i" --listen "127.0.0.1:${callers[i]}" \
      --peer-listen "127.0.0.1:${peers[i]}" --admin-listen "127.0.0.1:${admins[i]}" --log-service "127.0.0.1:$log" \
      --host-list "127.0.0.1:$hosts" --weight-store "127.0.0.1:$weights" --drain-delay 0s
  done
  for i in "${admins[@]}"; do await "port $i" is_listening "$i"; done
  bin/azurehitch-bench tables --pools "$2" --models "$3" --adapters "$4" --into "$work" \
    --engines "$(printf '127.0.0.1:%s,' "${engines[@]}" | sed 's/,$//')"
  bin/azurehitch config publish --admin "127.0.0.1:${admins[0]}" --routes "$work/routes.json" --pools "$work/pools.json" --base 0 >/dev/null
  for i in "${admins[@]}"; do await "configuration at port $i" curl -fsS "http://127.0.0.1:$i/healthz"; done
  sleep "${SETTLE:-45}"
  local suffix=".D$1.P$2.M$3.A$4"
  if ((${#sizes[@]} == 1)); then suffix=""; fi
  bin/azurehitch-bench scale --suffix "$suffix" \
    --admins "$(printf '127.0.0.1:%s,' "${admins[@]}" | sed 's/,$//')" \
    --processes "$(IFS=,; echo "${pids[*]:first_daemon:count}")"
  for ((i = ${#pids[@]} - 1; i >= first_process; i--)); do
    kill -TERM "${pids[i]}" 2>/dev/null || true
  done
  for ((i = ${#pids[@]} - 1; i >= first_process; i--)); do wait "${pids[i]}" 2>/dev/null || true; done
  pids=("${pids[@]:0:first_process}")
}

sizes=("$@")
if ((${#sizes[@]} == 0)); then
  sizes=(1:27:100:100 3:27:100:100 9:27:100:100 27:27:100:100 9:3:100:100 9:81:100:100 9:27:920:100 9:27:920:19000)
fi
for size in "${sizes[@]}"; do
  IFS=: read -r daemons pools models adapters <<<"$size"
  measure "$daemons" "$pools" "$models" "$adapters"
done
