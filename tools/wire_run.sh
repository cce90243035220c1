#!/usr/bin/env bash
# Runs nine daemons against stand-ins on loopback under load, three times: undisturbed, with two daemons killed and
# started again, and with a quarter of the engines slowed by a factor of 10. Prints what callers saw and what each daemon
# used. Then compares answers of an idle engine, whose tokens are 5 ms apart, with the same through a daemon. Nothing
# passes or fails. WIRE_CASES names the cases to run (undisturbed killed slowed overhead), WIRE_LOGS a file for the logs
# of the daemons, WIRE_PORT the first of the 300 ports.
#
# Usage: tools/wire_run.sh [requests a second] [seconds] [share of long requests] [seed] [build directory]
set -euo pipefail
cd "$(dirname "$0")/.."
rate=${1:-72}
seconds=${2:-60}
long_share=${3:-0.2}
seed=${4:-1}
build=${5:-build}
port=${WIRE_PORT:-21000}
daemons=9
engines=12
slowed=3
restart_after=5
token=wire-run-token
work=$(mktemp -d)
declare -a daemon_pid
stand_ins=
quick_engine=

stop_all() {
    for pid in "${daemon_pid[@]}" $stand_ins $quick_engine; do
        kill "$pid" 2>/dev/null || true
    done
    wait
    rm -rf "$work"
}
trap stop_all EXIT

engine_port() { echo $((port + 100 + $1)); }
service_port() { echo $((port + 200 + $1)); }
zone() { echo "zone-$(($1 % 4))"; }

write_config() {
    local i
    {
        echo '[pools.engines]'
        echo 'kind = "engine"'
        echo 'reports_load = true'
        for ((i = 1; i <= engines; i++)); do
            echo "servers.engine-$i = { address = \"127.0.0.1:$(engine_port "$i")\", zone = \"$(zone "$i")\" }"
        done
        echo '[pools.portal]'
        echo 'kind = "service"'
        echo 'reports_load = true'
        for ((i = 1; i <= 4; i++)); do
            echo "servers.portal-$i = { address = \"127.0.0.1:$(service_port "$i")\", zone = \"$(zone "$i")\" }"
        done
        cat <<END
[pools.quick]
kind = "engine"
servers.quick-1 = { address = "127.0.0.1:$(engine_port 0)", zone = "$(zone 0)" }
[pipelines.direct]
deadline_ms = 60000
priority = 0
[[pipelines.direct.stages]]
name = "answer"
kind = "generate"
pool = "quick"
model = "small"
max_tokens = 4000
[pipelines.question]
deadline_ms = 6000
priority = 0
length_class = "short"
[[pipelines.question.stages]]
name = "find"
kind = "call"
pool = "portal"
operation = "find"
[[pipelines.question.stages]]
name = "answer"
kind = "generate"
pool = "engines"
model = "small"
max_tokens = 300
[pipelines.report]
deadline_ms = 30000
priority = 1
resumable = true
length_class = "long"
[[pipelines.report.stages]]
name = "rules"
kind = "call"
pool = "portal"
operation = "rules"
[[pipelines.report.stages]]
name = "draft"
kind = "generate"
pool = "engines"
model = "small"
max_tokens = 4000
[teams.callers]
weight = 1
priority = 0
token_sha256 = ["$(printf %s $token | sha256sum | cut -c1-64)"]
END
    } >"$work/base.toml"
    head -c 32 /dev/urandom | sha256sum >"$work/resume.key"
    for ((i = 1; i <= daemons; i++)); do
        cat >"$work/entry-$i.toml" <<END
vm = "entry-$i"
site = "wire"
region = "wire"
zone = "$(zone "$i")"
caller_address = "127.0.0.1:$((port + i))"
operator_address = "127.0.0.1:$((port + 50 + i))"
operator_token_sha256 = "$(printf operator | sha256sum | cut -c1-64)"
resume_key_file = "$work/resume.key"
config_file = "$work/base.toml"
END
    done
}

wait_ready() {
    for _ in $(seq 200); do
        curl -fs "http://127.0.0.1:$((port + 50 + $1))/readyz" >/dev/null 2>&1 && return 0
        kill -0 "${daemon_pid[$1]}"
        sleep 0.05
    done
    echo "entry-$1 did not become ready" >&2
    return 1
}

start_daemon() {
    "$build"/apps/balsamspringd --settings "$work/entry-$1.toml" 2>>"$work/entry-$1.log" &
    daemon_pid[$1]=$!
    wait_ready "$1"
}

# Processor time in clock ticks.
ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }
status() { awk -v key="$2:" '$1 == key { print $2 }' "/proc/$1/status"; }

set_faults() {
    local i
    for ((i = 1; i <= slowed; i++)); do
        curl -fs -d "$1" "http://127.0.0.1:$(engine_port "$i")/v1/faults" >/dev/null
    done
}

disturb() {
    case $1 in
    killed)
        sleep $((seconds / 4))
        for i in 1 2; do
            kill -KILL "${daemon_pid[$i]}"
            wait "${daemon_pid[$i]}" 2>/dev/null || true
        done
        sleep $restart_after
        for i in 1 2; do
            start_daemon "$i"
        done
        ;;
    slowed) set_faults '{"slow_factor":10}' ;;
    esac
}

run() {
    local case=$1 i list=() before=() first=()
    for ((i = 1; i <= daemons; i++)); do
        list+=("127.0.0.1:$((port + i))")
        before[$i]=$(ticks "${daemon_pid[$i]}")
        first[$i]=${daemon_pid[$i]}
    done
    echo "== $case: $rate requests/s for $seconds s, long share $long_share, seed $seed"
    local engine_before
    engine_before=$(ticks "$stand_ins")
    "$build"/apps/balsamspring-emulator load --daemon "${list[@]}" --token $token --rate "$rate" --seconds "$seconds" \
        --long-share "$long_share" --long-priority 1 --seed "$seed" >"$work/load.txt" &
    local load=$!
    disturb "$case"
    while kill -0 "$load" 2>/dev/null; do
        for ((i = 1; i <= daemons; i++)); do
            status "${daemon_pid[$i]}" Threads >>"$work/threads-$case-$i"
        done
        sleep 1
    done
    wait "$load"
    cat "$work/load.txt"
    for ((i = 1; i <= daemons; i++)); do
        [ "${first[$i]}" = "${daemon_pid[$i]}" ] || before[$i]=0
        echo "entry-$i: resident $(status "${daemon_pid[$i]}" VmRSS) KiB, peak $(status "${daemon_pid[$i]}" VmHWM) KiB," \
            "threads at most $(sort -n "$work/threads-$case-$i" | tail -1), processor time" \
            "$(awk -v t=$(($(ticks "${daemon_pid[$i]}") - before[i])) -v hz="$(getconf CLK_TCK)" \
                'BEGIN { printf "%.2f", t / hz }') s$([ "${first[$i]}" = "${daemon_pid[$i]}" ] || echo ' since its restart')"
    done
    echo "stand-ins: processor time $(awk -v t=$(($(ticks "$stand_ins") - engine_before)) -v hz="$(getconf CLK_TCK)" \
        'BEGIN { printf "%.2f", t / hz }') s"
    set_faults '{}'
}

compare_direct() {
    echo "== overhead: one request at a time"
    "$build"/apps/balsamspring-emulator serve --engine "$(engine_port 0)" --token-gap-ms 5 --gap-per-stream-ms 0 \
        2>>"$work/stand-ins.log" &
    quick_engine=$!
    for _ in $(seq 100); do
        curl -fs "http://127.0.0.1:$(engine_port 0)/v1/load" >/dev/null 2>&1 && break
        sleep 0.05
    done
    "$build"/bench/daemon_overhead "127.0.0.1:$(engine_port 0)" "127.0.0.1:$((port + 1))" $token direct 200 3 2000
}

write_config
mapfile -t engine_ports < <(for ((i = 1; i <= engines; i++)); do engine_port "$i"; done)
mapfile -t service_ports < <(for ((i = 1; i <= 4; i++)); do service_port "$i"; done)
"$build"/apps/balsamspring-emulator serve --engine "${engine_ports[@]}" --service "${service_ports[@]}" \
    2>"$work/stand-ins.log" &
stand_ins=$!
for p in "${engine_ports[@]}" "${service_ports[@]}"; do
    for _ in $(seq 100); do
        curl -fs "http://127.0.0.1:$p/v1/load" >/dev/null 2>&1 && break
        sleep 0.05
    done
done
for ((i = 1; i <= daemons; i++)); do
    start_daemon "$i"
done
for case in ${WIRE_CASES:-undisturbed killed slowed overhead}; do
    if [ "$case" = overhead ]; then
        compare_direct
    else
        run "$case"
    fi
done
if [ -n "${WIRE_LOGS:-}" ]; then
    cat "$work"/entry-*.log >"$WIRE_LOGS"
fi
