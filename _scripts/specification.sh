#!/usr/bin/env bash
# Checks the specifications with Spin: leases with engines that check tokens and with engines that
# ignore them, leases on a log that returns from older copies and on one that drops its history, order counts
# without and with paused holders, and shares of rate limits that are lent, without and with restarts of lenders and
# coordinators. If spin is not installed, prints so and succeeds.
set -euo pipefail
cd "$(dirname "$0")/.."
if ! command -v spin >/dev/null; then
  echo "specification not run: spin is not installed"
  exit 0
fi
_scripts/spin.sh lease CHECKED=1
_scripts/spin.sh lease CHECKED=0
_scripts/spin.sh era SABOTAGE=0
_scripts/spin.sh startover SABOTAGE=0
_scripts/spin.sh orders FREEZE=0
_scripts/spin.sh orders FREEZE=1
_scripts/spin.sh allowance RESTART=0
_scripts/spin.sh allowance RESTART=1
_scripts/spin.sh allowance CRASH=1
