#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into Build/review-3. The entry itself comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
out=Build/review-3
mkdir -p "$out"
for source in Rig Deployment; do
    g++ -std=c++20 -O1 -Wall -Wextra -c "review/rig-3/$source.cpp" -o "$out/$source.o" &
done
wait
for case in review/rig-3/cases/*.cpp; do
    name="$(basename "$case" .cpp)"
    g++ -std=c++20 -O1 -Wall -Wextra "$case" "$out/Rig.o" "$out/Deployment.o" -pthread -o "$out/$name" &
done
wait
for case in review/rig-3/cases/*.cpp; do
    test -x "$out/$(basename "$case" .cpp)"
done
