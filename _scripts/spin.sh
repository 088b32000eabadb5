#!/usr/bin/env bash
# Checks a specification with Spin. Arguments: the name of its file in _spec without .pml, and
# NAME=VALUE for each macro to define. Prints the number of states; fails if an assertion can be
# violated or if the search was cut off by its depth limit.
set -euo pipefail
spec=$(cd "$(dirname "$0")/.." && pwd)/_spec/$1.pml
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work"
shift
spin "${@/#/-D}" -a "$spec" >spin.log
gcc -w -O2 -DSAFETY -DVECTORSZ=2048 -DCOLLAPSE -o pan pan.c 2>gcc.log || { cat gcc.log >&2; exit 1; }
./pan -E -m2000000 -w24 >pan.log 2>&1 || true
grep -E "states, stored|errors:|error:|max search depth" pan.log | sed 's/^ */Spin: /'
grep -q "errors: 0" pan.log && ! grep -q "max search depth too small" pan.log
