#!/usr/bin/env bash
# Checks the specifications: leases for both kinds of engines, counts of orders without and with
# holders that stand still. Says so when spin is missing.
set -euo pipefail
cd "$(dirname "$0")/.."
if ! command -v spin >/dev/null; then
  echo "specification not run: spin is not installed"
  exit 0
fi
_scripts/spin.sh lease CHECKED=1
_scripts/spin.sh lease CHECKED=0
_scripts/spin.sh orders FREEZE=0
_scripts/spin.sh orders FREEZE=1
