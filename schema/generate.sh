#!/usr/bin/env bash
# Regenerates the message types in wire/ and flow/. Needs protoc; protoc-gen-go comes from the tool lines of go.mod.
set -euo pipefail
cd "$(dirname "$0")"
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin/protoc-gen-go" google.golang.org/protobuf/cmd/protoc-gen-go
mkdir -p ../wire ../flow
protoc --plugin="$bin/protoc-gen-go" --go_out=.. --go_opt=module=catkinpoint -I . options.proto decl.proto settings.proto wire.proto flow.proto
