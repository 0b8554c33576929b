#!/usr/bin/env bash
# Plays the case and writes record.txt beside this file. TROUBLE=0 plays it without the
# disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=review/target/release/review-standin
[ -x "$program" ] && [ -x target/release/masticfalld ] || { echo "build first: deploy file, then review/build.sh" >&2; exit 2; }
TROUBLE=${TROUBLE:-1} exec "$program" deadly "$here"
