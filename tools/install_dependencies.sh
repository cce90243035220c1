#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the checks need. Does nothing when all are present.
set -euo pipefail
packages=(
    g++ cmake ninja-build ccache clang-format clang-tidy git
    libcpprest-dev libprotobuf-dev protobuf-compiler prometheus-cpp-dev
    libtomlplusplus-dev libboost-program-options-dev libboost-system-dev libssl-dev libfmt-dev libexpected-dev
    catch2 libtrompeloeil-cpp-dev libbenchmark-dev libxxhash-dev libpcg-cpp-dev zlib1g-dev nlohmann-json3-dev curl
)
if dpkg-query -W -f='${Status}\n' "${packages[@]}" 2>/dev/null | grep -c '^install ok installed$' |
        grep -qx "${#packages[@]}"; then
    exit 0
fi
run=()
if [ "$(id -u)" -ne 0 ]; then
    run=(sudo)
fi
"${run[@]}" apt-get update
DEBIAN_FRONTEND=noninteractive "${run[@]}" apt-get install -y --no-install-recommends "${packages[@]}"
