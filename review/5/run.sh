#!/bin/sh
# Plays the case; see claim.txt. Run review/build.sh and the build of deploy/system.toml before.
# TROUBLE=0 plays the same without the disruption. Exits with 1 if the rule was broken, 0 if it held, and 2
# if the case couldn't run.
TROUBLE=${TROUBLE:-1}
export TROUBLE
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program="$root/review/standins/target/release/headless"
if [ ! -x "$program" ] || [ ! -x "$root/target/release/comfreychute-edge" ]; then
    echo "NotRun: a program isn't built" | tee "$here/record.txt"
    exit 2
fi
exec "$program" "$here" "$root"
