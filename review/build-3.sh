#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into Build/review-3. The entry itself comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
out=Build/review-3
rm -rf "$out"
mkdir -p "$out"
# Prints nothing and fails if one of the compilers fails.
wait_for_all() {
    local failed=0
    for job in $(jobs -p); do
        wait "$job" || failed=1
    done
    return "$failed"
}
for source in Rig Deployment; do
    g++ -std=c++20 -O1 -Wall -Wextra -c "review/rig-3/$source.cpp" -o "$out/$source.o" &
done
wait_for_all
for case in review/rig-3/cases/*.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra "$case" "$out/Rig.o" "$out/Deployment.o" -pthread -o "$out/$(basename "$case" .cpp)" &
done
wait_for_all
