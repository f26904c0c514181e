#!/usr/bin/env bash
# Writes gen/ from proto/. The result is committed, so that a build needs no generator.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc -Iproto --cpp_out=gen --grpc_out=gen \
  --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" proto/*.proto
# command.proto has no services.
rm -f gen/command.grpc.pb.*
