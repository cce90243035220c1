#!/usr/bin/env bash
# Runs clang-tidy on every source of a build directory (default: build). A source is skipped when neither it, nor a
# project header, nor the linter configuration has changed since it last passed.
# Usage: tools/lint.sh [build directory] [source...]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
shift || true
cache=${BALSAMSPRING_LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/balsamspring-lint}
mkdir -p "$cache"
common=$(git ls-files --cached --others --exclude-standard '*.h' '*.clang-tidy' | sort | xargs cat | sha256sum | cut -c1-64)
if [ $# -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cc' | grep -v '\.pb\.')
fi
export build cache common
check() {
    key=$( (echo "$common $1"; cat "$1") | sha256sum | cut -c1-64)
    [ -e "$cache/$key" ] && return 0
    if output=$(clang-tidy --quiet -p "$build" "$1" 2>/dev/null); then
        touch "$cache/$key"
    else
        echo "$output"
        echo "lint failed: $1"
        return 1
    fi
}
export -f check
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -I{} bash -c 'check {}'
