#!/usr/bin/env bash
# Starts the platform's stand-ins, backend servers and three daemons on loopback, sends a few
# requests and stops everything. With KEEP=1 everything runs until Ctrl-C. With KILL=N daemon-N is
# killed after the requests, and the others must still answer.
set -euo pipefail
cd "$(dirname "$0")/.."
source _scripts/processes.sh

DAEMON_FLAGS=(--trace-exporter stdout --trace-sample-ratio 1)
start_all _fixtures/demo

key="Authorization: Bearer demo-salon-key"
chat() { # DAEMON BODY
  curl -fsS -D "$work/headers" -H "$key" -H 'Content-Type: application/json' \
    "http://127.0.0.1:${callers[$1]}/v1/chat/completions" -d "$2"
}
print_headers() { # TITLE
  echo
  echo "== $1"
  grep -iE '^(azurehitch-|x-request-id|traceparent)' "$work/headers" | tr -d '\r' | sed 's/^/   /'
}
# print_hops prints the spans of the last request. Daemons export them some time after the response.
print_hops() {
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
print_headers "first request to a sleeping model, at daemon-1"
echo "   $answer"
print_hops

answer=$(chat 1 '{"model":"care-note:lash","messages":[{"role":"user","content":"reaction check"}]}')
print_headers "adapter request, at daemon-2"
echo "   $answer"
print_hops

answer=$(chat 2 '{"model":"care-note","stream":true,"max_tokens":4,"messages":[{"role":"user","content":"weekly follow-up"}]}')
print_headers "streamed request, at daemon-3"
sed 's/^/   /' <<<"$answer"
print_hops
grep -q '^data: \[DONE\]' <<<"$answer"

answer=$(curl -fsS -D "$work/headers" -H "$key" -H 'Idempotency-Key: reminder-1' -d '{"to":"client 7"}' "http://127.0.0.1:${callers[1]}/booking/reminders")
print_headers "reminder that may not be repeated, at daemon-2"
echo "   $answer"
print_hops
repeated=$(curl -fsS -H "$key" -H 'Idempotency-Key: reminder-1' -d '{"to":"client 7"}' "http://127.0.0.1:${callers[0]}/booking/reminders")
[[ $answer == "$repeated" ]]
echo "   repeated with its key at daemon-1: the same answer, run once"

echo
bin/azurehitch daemons --admin "127.0.0.1:${admins[0]}"
bin/azurehitch pools --admin "127.0.0.1:${admins[0]}"

if [[ -n ${KILL:-} ]]; then
  killed=$((KILL - 1))
  pid_index=$((${#pids[@]} - 3 + killed))
  kill -KILL "${pids[pid_index]}"
  wait "${pids[pid_index]}" 2>/dev/null || true
  echo
  echo "== daemon-$KILL killed"
  for i in 0 1 2; do
    if ((i == killed)); then continue; fi
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
