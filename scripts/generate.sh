#!/usr/bin/env bash
# Generates gen/ from proto/. The generated files are committed, so that a build does not need protoc.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc -Iproto --cpp_out=gen --grpc_out=gen \
  --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" proto/*.proto
# command.proto and evacuation.proto define no services, so their gRPC files are not needed.
rm -f gen/command.grpc.pb.* gen/evacuation.grpc.pb.*
