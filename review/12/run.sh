#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." && [ -x target/cicadapitch-front ] && [ -x target/review-3/copyversions ] || exit 2
exec timeout --signal=KILL 110 target/review-3/copyversions review/12
