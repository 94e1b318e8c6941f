#!/usr/bin/env bash
# Runs one case: run-case.sh PROGRAM FOLDER. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
set -u
folder="$2"
root="$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)"
program="$root/Build/review-3/$1"
entry="$root/target/bin/godwitfork-entry"
if [ ! -x "$program" ] || [ ! -x "$entry" ]; then
    echo "run the build of deploy/system.toml and review/build-3.sh first"
    exit 2
fi
work="$(mktemp -d)"
# The case ends its entries itself, and they end with it.
timeout -k 2 110 "$program" "$entry" "$folder" "$work" > "$work/output" 2>&1
result=$?
tail -n 4 "$folder/record.txt"
if [ -n "${KEEP_LOGS:-}" ]; then
    cp "$work"/*.log "$KEEP_LOGS"/
fi
rm -rf "$work"
case "$result" in
0 | 1) exit "$result" ;;
*) exit 2 ;;
esac
