#!/bin/sh
# Builds the harness that plays the cases, with all stand-ins in it. It needs no network.
set -eu
cd "$(dirname "$0")/harness"
go build -o ../../target/review-harness .
