#!/usr/bin/env bash
# Formats all sources in place, or with --check reports the files that differ from the format.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(-i)
if [ "${1:-}" = --check ]; then
    mode=(--dry-run --Werror)
fi
git ls-files --cached --others --exclude-standard '*.cc' '*.h' | grep -v '\.pb\.' | xargs -r clang-format "${mode[@]}"
