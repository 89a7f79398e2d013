#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0
# leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/papayaseam ] && [ -x target/review-driver-3 ] || { echo "build first: the build line of deploy/system.toml, then review/build-2.sh"; exit 2; }
folder=$(mktemp -d) || exit 2
target/review-driver-3 -case ghost -binary target/papayaseam -record review/6/record.txt -folder "$folder" &
driver=$!
trap 'kill "$driver" 2>/dev/null' TERM INT HUP
wait "$driver"
code=$?
if [ "$code" -gt 128 ]; then wait "$driver"; code=2; fi
rm -rf "$folder"
exit "$code"
