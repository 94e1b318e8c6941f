#!/usr/bin/env bash
# Builds the cases of the second review, with the stand-ins that they contain, into Build/review-2. Run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p Build/review-2
for source in review/{6,7,8,9,10}/case.cpp; do
    [ -e "$source" ] || continue
    number="$(basename "$(dirname "$source")")"
    g++ -std=gnu++20 -O1 -Wall -Wextra -pthread "$source" review/rig-2/Rig.cpp -o "Build/review-2/case-$number"
done
