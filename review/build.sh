#!/bin/sh
# Builds the stand-ins that the scripts of the review start. They need the standard library only.
set -e
cd "$(dirname "$0")/standins"
cargo build --offline --release
