#!/usr/bin/env bash
# Runs the case against target/plumsilld and writes record.txt here. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/plumsilld ] || [ ! -x build-review/review-rig ]; then
    echo "build the deploy file and run review/build.sh first" >&2
    exit 2
fi
exec timeout -k 2 118 build-review/review-rig stop-slow-reader target/plumsilld review/4/record.txt
