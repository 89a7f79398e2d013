#!/usr/bin/env bash
# Builds the stand-ins of the cases: one program that holds the operator, the servers and
# the clients, and starts the project's own programs. Run it after the build line of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target
cd driver
go build -o ../../target/review-driver .
