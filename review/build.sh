#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into target/review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
flags=(-std=c++20 -O1 -Wall -Wextra -Wno-psabi -Wno-missing-field-initializers -ffp-contract=off -fsigned-char -D_TURN_OFF_PLATFORM_STRING -I.)
libraries=(target/balsamspring/net/libbalsamspring_net.a target/balsamspring/base/libbalsamspring_base.a)
links=(-lfmt -lxxhash -lcrypto -lz -lpthread)
objects=()
pids=()
compile() {
    g++ "${flags[@]}" -c "$1" -o "$2" &
    pids+=($!)
}
for source in review/stand_ins/*.cc; do
    object=target/review/$(basename "$source" .cc).o
    compile "$source" "$object"
    objects+=("$object")
done
for source in review/[1-9]/case.cc; do
    [ -e "$source" ] || continue
    compile "$source" "target/review/case-$(basename "$(dirname "$source")").o"
done
for pid in "${pids[@]}"; do
    wait "$pid"
done
for source in review/[1-9]/case.cc; do
    [ -e "$source" ] || continue
    name=target/review/case-$(basename "$(dirname "$source")")
    g++ "$name.o" "${objects[@]}" "${libraries[@]}" "${links[@]}" -o "$name"
done
