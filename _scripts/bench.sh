#!/usr/bin/env bash
# Measures the request path between processes on loopback, the placement policy on a virtual clock,
# and the cost of the control plane. Prints one line for each figure.
set -euo pipefail
cd "$(dirname "$0")/.."
source _scripts/processes.sh

ENGINE_FLAGS=(--token-interval 0s)
mkdir "$work/tables"
cp _fixtures/demo/pools.json "$work/tables/"
sed 's/"RequestsPerSecond": 500, "Burst": 500/"RequestsPerSecond": 1000000, "Burst": 1000000/' _fixtures/demo/routes.json >"$work/tables/routes.json"
start_all "$work/tables" >/dev/null

key="Authorization: Bearer demo-salon-key"
curl -fsS -H "$key" "http://127.0.0.1:${callers[0]}/v1/completions" -d '{"model":"follow-up"}' -D "$work/headers" >/dev/null
server=$(sed -n 's/^Azurehitch-Backend-Server: engine-\([0-9]\).*/\1/p' "$work/headers")
daemon_pid=${pids[$((${#pids[@]} - 3))]}
bin/azurehitch-bench path --daemon "127.0.0.1:${callers[0]}" --engine "127.0.0.1:${engines[$((server - 1))]}" \
  --key demo-salon-key --model follow-up --version 1 --process "$daemon_pid" "$@"
stop_all

bin/azurehitch-bench policy --seeds 5
_scripts/scale.sh 9:27:100:100
