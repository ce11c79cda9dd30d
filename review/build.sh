#!/usr/bin/env bash
# Builds the stand-ins and drivers of the review's scripts. Needs only the Go toolchain, no network.
set -euo pipefail
cd "$(dirname "$0")/standins"
mkdir -p ../../target
GOWORK=off GOPROXY=off go build -o ../../target/review-standins .
