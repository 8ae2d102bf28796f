#!/usr/bin/env bash
# Builds what the scripts of the review start beside the product.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build
go build -tags review -o build/review-driver ./review/driver
