#!/bin/sh
# Builds the stand-ins of the third review's scripts; run it in the repository's root after
# the build line of deploy/system.toml.
set -e
go build -ldflags=-linkmode=external -o target/review-3 ./review/driver-4
