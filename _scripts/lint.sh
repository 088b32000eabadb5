#!/usr/bin/env bash
# Runs gofmt, go vet, staticcheck and revive. The versions are those in go.mod.
set -euo pipefail
cd "$(dirname "$0")/.."
unformatted=$(gofmt -l .)
if [[ -n $unformatted ]]; then
  echo "not formatted: $unformatted" >&2
  exit 1
fi
go vet ./...
go tool staticcheck ./...
go tool revive -config revive.toml -set_exit_status -exclude '**/*.pb.go' ./...
