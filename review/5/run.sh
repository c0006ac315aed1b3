#!/bin/sh
# Plays the case; see claim.txt. Run review/build.sh and the build of deploy/system.toml before.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
exec "$root/review/standins/target/release/headless" "$here" "$root"
