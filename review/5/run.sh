#!/usr/bin/env bash
# Plays this case against the programs of the deploy file. Run review/build.sh and the build of the deploy file first.
# Ends with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
stand_in=target/review/release/review-standin
for program in "$stand_in" target/release/platform-control target/release/platform-router; do
  [ -x "$program" ] || { echo "not built: $program" >&2; exit 2; }
done
exec "$stand_in" late review/5
