#!/usr/bin/env bash
# Checks the specification for both kinds of engines. Says so when spin is missing.
set -euo pipefail
cd "$(dirname "$0")/.."
if ! command -v spin >/dev/null; then
  echo "specification not run: spin is not installed"
  exit 0
fi
_scripts/spin.sh 1 0
_scripts/spin.sh 0 0
