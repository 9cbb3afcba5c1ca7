#!/bin/sh
# Builds what the scripts of review 2 start beside the product: the harness with the project's
# own stand-ins in it. The product itself is built by the line in deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-2 ./review/harness-2
