#!/usr/bin/env bash
# Regenerates the protobuf code. Requires protoc, which the build does not.
set -euo pipefail
cd "$(dirname "$0")/.."
plugin=$(mktemp -d)
trap 'rm -rf "$plugin"' EXIT
go build -o "$plugin/protoc-gen-go" google.golang.org/protobuf/cmd/protoc-gen-go
PATH="$plugin:$PATH" protoc --go_out=. --go_opt=module=azurehitch \
  internal/oplog/recordpb/record.proto internal/peer/peerpb/peer.proto
