#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/15 start, after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/standins-3"
go build -o ../../target/standins-3 .
