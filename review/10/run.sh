#!/bin/sh
# Plays the case resume-on-split-route; see claim.txt. Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/azurehitch ] || [ ! -x target/standins2 ]; then
  echo "run the build of deploy/system.toml and review/build-2.sh first" >&2
  exit 2
fi
exec target/standins2 resume-on-split-route review/10/record.txt
