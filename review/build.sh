#!/usr/bin/env bash
# Builds the stand-ins of the scripts into target/review. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target/review
go build -o ../target/review/cases ./cases
