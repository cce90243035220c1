#!/usr/bin/env bash
# Runs the program of a case with the run command of the deploy file. Usage: run.sh CASE-FOLDER
set -uo pipefail
folder=$(cd "$1" && pwd)
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
program=target/review/case-$(basename "$folder")
read -r -a command <<<"$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)"
if [ ! -x "$program" ] || [ ${#command[@]} -eq 0 ] || [ ! -x "${command[0]}" ]; then
    echo "build the deploy file and run review/build.sh first" >&2
    exit 2
fi
timeout --kill-after=5 115 "$program" "$folder/record.txt" "${command[@]}"
status=$?
[ $status -le 2 ] || status=2
exit $status
