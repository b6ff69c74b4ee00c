#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/stand3"
GOTOOLCHAIN=local GOFLAGS= go build -o ../../target/stand3 .
