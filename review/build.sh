#!/usr/bin/env bash
# Builds the stand-ins of all cases into review/build.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
mkdir -p build
for source in [1-5]/case.cpp; do
    number=${source%/case.cpp}
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "build/case-$number"
done
