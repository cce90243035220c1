#!/usr/bin/env bash
# Installs what is missing, builds, starts the embedded daemon on loopback, sends one request and prints its answer as it
# arrives, then stops the daemon. DEMO_PORT and DEMO_BUILD change the port and the build directory.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install_dependencies.sh
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
build=${DEMO_BUILD:-build}
port=${DEMO_PORT:-8080}
cmake -S . -B "$build" -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache >/dev/null
cmake --build "$build" --target balsamspringd

"$build"/apps/balsamspringd --embedded --caller-address "127.0.0.1:$port" --operator-address "127.0.0.1:$((port + 1))" &
daemon=$!
trap 'kill "$daemon" 2>/dev/null || true' EXIT
for _ in $(seq 100); do
    curl -fs "http://127.0.0.1:$((port + 1))/readyz" >/dev/null && break
    kill -0 "$daemon" # the daemon must not have ended
    sleep 0.1
done

curl -fsSN -H 'Authorization: Bearer demo-token' -H 'Accept: text/event-stream' -d '{"input":"Draft a report on the roses."}' \
    "http://127.0.0.1:$port/v1/pipelines/report/run"

kill -TERM "$daemon"
wait "$daemon"
trap - EXIT
echo "the daemon stopped after the answer was complete"
