#!/usr/bin/env bash
# Plays this case for about a minute. Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[[ -x target/hingewinchd && -x target/review-standin ]] || { echo "build first: the line of deploy/system.toml, review/build.sh" >&2; exit 2; }
exec target/review-standin silence review/3
