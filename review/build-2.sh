#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -C review/driver-2 -o ../../target/review-driver-2 .
go build -C review/driver-3 -o ../../target/review-driver-3 .
