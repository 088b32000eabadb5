#!/usr/bin/env bash
# Runs the proof of each point, then runs it again with each mechanism that the point relies on
# disabled, which must make the proof fail. Prints one line for each point:
#   Point=<name> Result=<proved|red|unproved> Sabotage=<caught|missed|none> Seconds=<n>
# Arguments are regular expressions; only points whose name matches one of them are run.
set -uo pipefail
cd "$(dirname "$0")/.."

work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
point_package=internal/proof/points
lease_package=internal/lease/leaselog
timeout=240s

go test -c -o "$work/points" "./$point_package" || exit 1
go test -c -o "$work/leaselog" "./$lease_package" || exit 1
go test -tags sabotage -c -o "$work/points.sabotage" "./$point_package" || exit 1
go test -tags sabotage -c -o "$work/leaselog.sabotage" "./$lease_package" || exit 1

failed=0
# known_red succeeds if KNOWN-RED.txt lists the test of a point.
known_red() { [[ -f KNOWN-RED.txt ]] && grep -q "TestProve$1\b" KNOWN-RED.txt; }

report() { # POINT RESULT SABOTAGE SECONDS
  echo "Point=$1 Result=$2 Sabotage=$3 Seconds=$4"
  if [[ $2 != proved || $3 != caught ]] && ! known_red "$1"; then failed=1; fi
}

is_selected() { # POINT
  if ((${#filters[@]} == 0)); then return 0; fi
  for filter in "${filters[@]}"; do [[ $1 =~ $filter ]] && return 0; done
  return 1
}

prove() { # POINT BINARY MECHANISM...
  local point=$1 binary=$2
  shift 2
  is_selected "$point" || return 0
  local started=$SECONDS result=proved sabotage=caught
  "$work/$binary" -test.run "^TestProve$point\$" -test.timeout $timeout >"$work/$point.log" 2>&1 || result=red
  for mechanism in "$@"; do
    if AZUREHITCH_SABOTAGE=$mechanism "$work/$binary.sabotage" -test.run "^TestProve$point\$" -test.failfast \
      -test.timeout $timeout >"$work/$point.$mechanism.log" 2>&1; then
      sabotage=missed
    elif ! grep -q -- "--- FAIL: TestProve$point" "$work/$point.$mechanism.log"; then
      sabotage=missed
    fi
  done
  if [[ $result == red ]]; then tail -n 20 "$work/$point.log" >&2; fi
  report "$point" $result $sabotage $((SECONDS - started))
}

specify() { # POINT SPECIFICATION DEFINITION SABOTAGE...
  is_selected "$1" || return 0
  local started=$SECONDS result=proved sabotage=caught mutation
  if ! command -v spin >/dev/null; then
    report "$1" unproved none 0
    return
  fi
  _scripts/spin.sh "$2" "$3" || result=red
  for mutation in "${@:4}"; do
    if _scripts/spin.sh "$2" "$3" "$mutation" >/dev/null; then sabotage=missed; fi
  done
  report "$1" $result $sabotage $((SECONDS - started))
}

filters=("$@")
prove SingleHolder leaselog SkipSeenCheck
prove ReplicaLimitTokenChecked points SkipUnreachedCount
prove ReplicaLimitTokenIgnored points SkipUnreachedCount
prove ReplicaLimitTokenKept points SkipUnreachedCount
prove FrozenHolderTokenChecked points SkipFence
prove FrozenHolderTokenIgnored points SkipIntent SkipAdoption
prove UnreachedServer points SkipUnreachedCount
prove LoweredLimit points SkipLowering
prove RemovedServer points SkipRetired
prove MemoryLimit points SkipMemoryBooking
specify SpecificationTokenChecked lease CHECKED=1 SABOTAGE=1
specify SpecificationTokenIgnored lease CHECKED=0 SABOTAGE=1
specify SpecificationStartOver startover MAXPROCESSES=2 SABOTAGE=1 SABOTAGE=2 SABOTAGE=3 SABOTAGE=4
specify SpecificationOrdersInTurn orders FREEZE=0 WAIT=0
specify SpecificationOrdersRoom orders FREEZE=1 COUNTS=0
prove WaitingRequests points SkipWaitLimit
prove Deadline points SkipWaitLimit
prove OwnWholeAnswer points SkipWholeCheck
prove StreamResumes points ResumeFromStart
prove CutStreamLooksCut points EndCutStreams
prove NotRun points ClaimNotRun
prove AtMostOnce points SkipClaim RetryUnsafe
prove LeavingServer points IgnoreLeaving
prove GracefulStop points SkipDrain
prove Handover points SkipRelease
prove Configuration points SkipBaseCheck SkipSnapshots
prove TwoReleases points JudgeByTables
prove LogOutage points SkipLeaseCheck
prove LogCutForHolder points SkipFence
prove RetryBudget points SkipBudget
prove Overload points SkipQueueLimit SkipBudget
prove WeightStoreShare points SkipLoadSlots
prove PaidLoadsFirst points TrialsLikePaid
prove TrialMoves points ResumeFromStart TrialsLikePaid
prove PaidBeforeTrial points SkipPromise
exit $failed
