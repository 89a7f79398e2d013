#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption. What was sent, answered and run is
# written to record.txt in this folder.
cd "$(dirname "$0")" || exit 2
rm -f record.txt
if [ ! -x ../../target/papayaseam ] || [ ! -x ../../target/review-driver ]; then
  echo "build first: the deploy file's build line, then review/build.sh" | tee record.txt
  exit 2
fi
exec ../../target/review-driver replaced record.txt
