#!/bin/bash
# Builds the stand-ins of the second review into target/review-2: one program that is compiled from test
# files. It needs Go and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -c -tags review2 -trimpath -o target/review-2/standins-2 ./review/standins-2
