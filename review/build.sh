#!/bin/bash
# Builds the stand-ins of the cases' scripts: one program of the standard library alone. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/trial"
mkdir -p ../target
GOFLAGS="${GOFLAGS:-} -mod=mod" GOWORK=off GOTOOLCHAIN=local go build -trimpath -o ../target/trial .
