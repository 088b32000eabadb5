#!/usr/bin/env bash
# Starts the platform's stand-ins, backend servers and three daemons on loopback,
# sends a few requests and stops everything. KEEP=1 stays up until Ctrl-C.
# KILL=1 kills one daemon after the requests and shows that the others answer.
set -euo pipefail
cd "$(dirname "$0")/.."

work=$(mktemp -d)
pids=()

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

start() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
}

await() { # DESCRIPTION COMMAND...
  local what=$1
  shift
  for _ in $(seq 1 200); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.05
  done
  echo "demo: $what did not come up" >&2
  tail -n 5 "$work"/*.log >&2
  exit 1
}

listens() { (exec 3<>"/dev/tcp/127.0.0.1/$1"); }

read -r -a port <<<"$(bin/azurehitch-standin ports 18)"
log=${port[0]} hosts=${port[1]} weights=${port[2]}
engines=("${port[@]:3:4}") desks=("${port[@]:7:2}")
callers=("${port[@]:9:3}") peers=("${port[@]:12:3}") admins=("${port[@]:15:3}")

start log bin/azurehitch-standin log --listen "127.0.0.1:$log"
start hosts bin/azurehitch-standin hosts --listen "127.0.0.1:$hosts" --lag 200ms
start weights bin/azurehitch-standin weights --listen "127.0.0.1:$weights" --load-time 1s
for i in 0 1 2 3; do
  ignore=()
  if ((i >= 2)); then ignore=(--ignore-token); fi
  start "engine-$((i + 1))" bin/azurehitch-standin engine --name "engine-$((i + 1))" \
    --listen "127.0.0.1:${engines[i]}" --weights "127.0.0.1:$weights" "${ignore[@]}"
done
for i in 0 1; do
  start "desk-$((i + 1))" bin/azurehitch-standin service --name "desk-$((i + 1))" --listen "127.0.0.1:${desks[i]}"
done
for p in "$log" "$hosts" "$weights" "${engines[@]}" "${desks[@]}"; do await "port $p" listens "$p"; done

add_host() { # NAME PORT ROLE
  curl -fsS -X PUT "http://127.0.0.1:$hosts/v1/hosts/$1" \
    -d "{\"Address\":\"127.0.0.1:$2\",\"FailureDomain\":\"reduit\",\"Role\":\"$3\",\"State\":\"Live\"}" >/dev/null
}
for i in 0 1 2 3; do add_host "engine-$((i + 1))" "${engines[i]}" BackendServer; done
for i in 0 1; do add_host "desk-$((i + 1))" "${desks[i]}" BackendServer; done
for i in 0 1 2; do add_host "daemon-$((i + 1))" "${peers[i]}" EntryHost; done

for i in 0 1 2; do
  start "daemon-$((i + 1))" bin/azurehitch serve --name "daemon-$((i + 1))" --failure-domain reduit \
    --listen "127.0.0.1:${callers[i]}" --peer-listen "127.0.0.1:${peers[i]}" --admin-listen "127.0.0.1:${admins[i]}" \
    --log-service "127.0.0.1:$log" --host-list "127.0.0.1:$hosts" --weight-store "127.0.0.1:$weights" \
    --drain-delay 200ms --trace-exporter stdout --trace-sample-ratio 1
done
for p in "${admins[@]}"; do await "port $p" listens "$p"; done

sed -e "s/@ENGINE1@/${engines[0]}/; s/@ENGINE2@/${engines[1]}/; s/@ENGINE3@/${engines[2]}/; s/@ENGINE4@/${engines[3]}/" \
  -e "s/@DESK1@/${desks[0]}/; s/@DESK2@/${desks[1]}/" _fixtures/demo/pools.json >"$work/pools.json"
bin/azurehitch config check --admin "127.0.0.1:${admins[0]}" --routes _fixtures/demo/routes.json --pools "$work/pools.json"
bin/azurehitch config publish --admin "127.0.0.1:${admins[0]}" --routes _fixtures/demo/routes.json --pools "$work/pools.json" --base 0 --author demo
for p in "${admins[@]}"; do await "configuration at port $p" curl -fsS "http://127.0.0.1:$p/healthz"; done

key="Authorization: Bearer demo-salon-key"
chat() { # DAEMON BODY
  curl -fsS -D "$work/headers" -H "$key" -H 'Content-Type: application/json' \
    "http://127.0.0.1:${callers[$1]}/v1/chat/completions" -d "$2"
}
show() { # TITLE
  echo
  echo "== $1"
  grep -iE '^(azurehitch-|x-request-id|traceparent)' "$work/headers" | tr -d '\r' | sed 's/^/   /'
}
hops() { # of the last request
  local trace
  trace=$(sed -n 's/^[Tt]raceparent: 00-\([0-9a-f]*\)-.*/\1/p' "$work/headers" | tr -d '\r')
  local names=""
  for _ in $(seq 1 100); do
    names=$(cat "$work"/daemon-*.log | grep -h "\"TraceID\":\"$trace\"" | grep -o '^{"Name":"[a-z]*"' | cut -d'"' -f4 | sort | uniq -c | awk '{print $2 "x" $1}' | tr '\n' ' ') || true
    if [[ $names == *accept* && $names == *forward* ]]; then break; fi
    sleep 0.1
  done
  echo "   hops: $names"
}

body='{"model":"care-note","messages":[{"role":"user","content":"evening care note"}]}'
answer=$(chat 0 "$body")
show "first request to a sleeping model, at daemon-1"
echo "   $answer"
hops

answer=$(chat 1 '{"model":"care-note:lash","messages":[{"role":"user","content":"reaction check"}]}')
show "adapter request, at daemon-2"
echo "   $answer"
hops

answer=$(chat 2 '{"model":"care-note","stream":true,"max_tokens":4,"messages":[{"role":"user","content":"weekly follow-up"}]}')
show "streamed request, at daemon-3"
sed 's/^/   /' <<<"$answer"
hops
grep -q '^data: \[DONE\]' <<<"$answer"

answer=$(curl -fsS -D "$work/headers" -H "$key" -H 'Idempotency-Key: reminder-1' -d '{"to":"client 7"}' "http://127.0.0.1:${callers[1]}/booking/reminders")
show "reminder that may not be repeated, at daemon-2"
echo "   $answer"
hops
repeated=$(curl -fsS -H "$key" -H 'Idempotency-Key: reminder-1' -d '{"to":"client 7"}' "http://127.0.0.1:${callers[0]}/booking/reminders")
[[ $answer == "$repeated" ]]
echo "   repeated with its key at daemon-1: the same answer, run once"

echo
bin/azurehitch daemons --admin "127.0.0.1:${admins[0]}"
bin/azurehitch pools --admin "127.0.0.1:${admins[0]}"

if [[ -n ${KILL:-} ]]; then
  victim=$((KILL - 1))
  index=$((${#pids[@]} - 3 + victim))
  kill -KILL "${pids[index]}"
  wait "${pids[index]}" 2>/dev/null || true
  echo
  echo "== daemon-$KILL killed"
  for i in 0 1 2; do
    if ((i == victim)); then continue; fi
    chat "$i" "$body" >/dev/null
    chat "$i" '{"model":"follow-up","messages":[{"role":"user","content":"weekly follow-up"}]}' >/dev/null
    echo "   daemon-$((i + 1)) answers, also for a model that slept"
  done
fi

if [[ -n ${KEEP:-} ]]; then
  echo
  echo "Running until Ctrl-C. To try:"
  echo "  curl -H '$key' http://127.0.0.1:${callers[0]}/v1/models"
  echo "  curl -N -H '$key' http://127.0.0.1:${callers[1]}/v1/chat/completions -d '{\"model\":\"follow-up\",\"stream\":true,\"messages\":[]}'"
  echo "  curl -H '$key' -H 'Idempotency-Key: 2' http://127.0.0.1:${callers[2]}/booking/reminders -d '{}'"
  echo "  bin/azurehitch pools --admin 127.0.0.1:${admins[0]}"
  while true; do sleep 1; done
fi
echo
echo "demo: done in ${SECONDS} s"
