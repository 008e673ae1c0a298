#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They use the standard library and this module only.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-stand ./review/_stand/platform
