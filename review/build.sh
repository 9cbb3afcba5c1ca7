#!/usr/bin/env bash
# Builds the stand-ins of all cases. The build of deploy/system.toml must have run before.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-harness ./review/harness
