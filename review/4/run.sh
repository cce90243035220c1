#!/usr/bin/env bash
exec "$(dirname "${BASH_SOURCE[0]}")/../stand_ins/run.sh" "$(dirname "${BASH_SOURCE[0]}")"
