#!/bin/bash
# Builds the stand-ins of the cases 11 to 15: one program that needs the standard library alone, compiled from test
# files. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/standins-3"
mkdir -p ../../target
GOFLAGS="${GOFLAGS:-} -mod=mod" GOWORK=off GOTOOLCHAIN=local go test -c -trimpath -o ../../target/review-3 .
