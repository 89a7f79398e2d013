#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")" || exit 2
if [ ! -x ../../target/papayaseam ] || [ ! -x ../../target/review-driver ]; then
  echo "build first: the deploy file's build line, then review/build.sh"
  exit 2
fi
exec ../../target/review-driver departure
