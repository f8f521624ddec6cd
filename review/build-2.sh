#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, which use the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
go build -o ../target/review-second ./second
