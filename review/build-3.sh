#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They use the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -C review/standins-3 -o ../../target/review-3 .
