#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves out the
# disruption.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
[ -x review/standins-2/target/release/review-case ] || exit 2
exec review/standins-2/target/release/review-case slow-loads review/6
