#!/bin/sh
# Builds the stand-ins that the scripts of this review start. Run it after the build of the
# deploy file, from anywhere.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/driver-3 ./review/driver-3
