#!/usr/bin/env bash
# Measures the slopes of docs/CAPACITY.md. Arguments go to build/bench/capacity_benchmark.
set -euo pipefail
cd "$(dirname "$0")/.."
coproc engines { build/bench/capacity_benchmark --engines; }
read -r ports <&"${engines[0]}"
RELAY_ENGINES=$ports build/bench/capacity_benchmark "$@"
exec {engines[1]}>&-
wait "$engines_PID" || true
