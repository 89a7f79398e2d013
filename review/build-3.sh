#!/bin/sh
# Builds the stand-ins of the cases 11 to 14 into target/; run it after the build line of
# deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -tags review -o target/review-3 ./review/driver-4
go build -C review/driver-2 -o ../../target/review-driver-2 .
