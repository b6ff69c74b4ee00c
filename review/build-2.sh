#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start.
set -euo pipefail
cd "$(dirname "$0")/stand2"
mkdir -p ../../target
GOWORK=off GOFLAGS=-mod=mod go build -buildvcs=false -o ../../target/review-2 .
