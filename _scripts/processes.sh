# Functions that start the platform's stand-ins, backend servers and three daemons as separate
# processes on loopback. Sourced by demo.sh, bench.sh and scale.sh.

work=$(mktemp -d)
pids=()
ENGINE_FLAGS=()
DAEMON_FLAGS=()

stop_all() {
  trap - EXIT INT TERM
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
    kill -TERM "${pids[i]}" 2>/dev/null || true
    wait "${pids[i]}" 2>/dev/null || true
  done
  rm -rf "$work"
}
trap stop_all EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# start runs a command in the background and logs to $work/NAME.log.
start() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
}

# await repeats a command until it succeeds. It ends the script after 200 failures, 50 ms apart.
await() { # DESCRIPTION COMMAND...
  local description=$1
  shift
  for _ in $(seq 1 200); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.05
  done
  echo "$description did not come up" >&2
  tail -n 5 "$work"/*.log >&2
  exit 1
}

is_listening() { (exec 3<>"/dev/tcp/127.0.0.1/$1"); }

add_host() { # NAME PORT ROLE
  curl -fsS -X PUT "http://127.0.0.1:$hosts/v1/hosts/$1" \
    -d "{\"Address\":\"127.0.0.1:$2\",\"FailureDomain\":\"reduit\",\"Role\":\"$3\",\"State\":\"Live\"}" >/dev/null
}

start_standins() {
  local i
  start log bin/azurehitch-standin log --listen "127.0.0.1:$log"
  start hosts bin/azurehitch-standin hosts --listen "127.0.0.1:$hosts" --lag 200ms
  start weights bin/azurehitch-standin weights --listen "127.0.0.1:$weights" --load-time 1s
  for i in 0 1 2 3; do
    local ignore=()
    if ((i >= 2)); then ignore=(--ignore-token); fi
    start "engine-$((i + 1))" bin/azurehitch-standin engine --name "engine-$((i + 1))" \
      --listen "127.0.0.1:${engines[i]}" --weights "127.0.0.1:$weights" "${ignore[@]}" "${ENGINE_FLAGS[@]}"
  done
  for i in 0 1; do
    start "desk-$((i + 1))" bin/azurehitch-standin service --name "desk-$((i + 1))" --listen "127.0.0.1:${desks[i]}"
  done
  for i in "$log" "$hosts" "$weights" "${engines[@]}" "${desks[@]}"; do await "port $i" is_listening "$i"; done
  for i in 0 1 2 3; do add_host "engine-$((i + 1))" "${engines[i]}" BackendServer; done
  for i in 0 1; do add_host "desk-$((i + 1))" "${desks[i]}" BackendServer; done
  for i in 0 1 2; do add_host "daemon-$((i + 1))" "${peers[i]}" EntryHost; done
}

start_daemons() {
  local i
  for i in 0 1 2; do
    start "daemon-$((i + 1))" bin/azurehitch serve --name "daemon-$((i + 1))" --failure-domain reduit \
      --listen "127.0.0.1:${callers[i]}" --peer-listen "127.0.0.1:${peers[i]}" --admin-listen "127.0.0.1:${admins[i]}" \
      --log-service "127.0.0.1:$log" --host-list "127.0.0.1:$hosts" --weight-store "127.0.0.1:$weights" \
      --drain-delay 200ms "${DAEMON_FLAGS[@]}"
  done
  for i in "${admins[@]}"; do await "port $i" is_listening "$i"; done
}

publish_tables() { # DIRECTORY
  local i
  sed -e "s/@ENGINE1@/${engines[0]}/; s/@ENGINE2@/${engines[1]}/; s/@ENGINE3@/${engines[2]}/; s/@ENGINE4@/${engines[3]}/" \
    -e "s/@DESK1@/${desks[0]}/; s/@DESK2@/${desks[1]}/" "$1/pools.json" >"$work/pools.json"
  bin/azurehitch config check --admin "127.0.0.1:${admins[0]}" --routes "$1/routes.json" --pools "$work/pools.json"
  bin/azurehitch config publish --admin "127.0.0.1:${admins[0]}" --routes "$1/routes.json" --pools "$work/pools.json" --base 0 --author "$USER_NAME"
  for i in "${admins[@]}"; do await "configuration at port $i" curl -fsS "http://127.0.0.1:$i/healthz"; done
}

# start_all starts all processes and publishes the routes and pools in a directory.
start_all() { # DIRECTORY
  read -r -a port <<<"$(bin/azurehitch-standin ports 18)"
  log=${port[0]} hosts=${port[1]} weights=${port[2]}
  engines=("${port[@]:3:4}") desks=("${port[@]:7:2}")
  callers=("${port[@]:9:3}") peers=("${port[@]:12:3}") admins=("${port[@]:15:3}")
  USER_NAME=$(basename "$0" .sh)
  start_standins
  start_daemons
  publish_tables "$1"
}
