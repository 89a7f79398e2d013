#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run, and writes
# record.txt. TROUBLE=0 leaves the disruption out. Build first: deploy/system.toml's build
# line, review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/papayaseam ] || [ ! -x target/review-3 ]; then
	echo "could not run: not built" >review/11/record.txt
	exit 2
fi
exec target/review-3 late-end target/papayaseam review/11/record.txt
