#!/usr/bin/env bash
# Builds the stand-ins of the cases of this review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
(cd review/standins-2 && GOWORK=off go build -o ../../target/standins-2 .)
