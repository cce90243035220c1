#!/usr/bin/env bash
# Regenerates balsamspring/schema and balsamspring/gather_schema from proto/. Needs protobuf-compiler; the build does not.
set -euo pipefail
cd "$(dirname "$0")/.."
out=balsamspring/schema
for file in proto/*.proto; do
    # The gateway links the lite runtime only.
    if [ "$file" = proto/gather.proto ]; then
        protoc --proto_path=proto --cpp_out=balsamspring/gather_schema "$file"
        continue
    fi
    protoc --proto_path=proto --cpp_out="$out" "$file"
done
