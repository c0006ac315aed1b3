#!/bin/bash
# Builds the stand-ins that the scripts of review/6 to review/10 start.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
cargo build --release --offline
