#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
timeout 110 target/review-3/removed_backend target review/13/record.txt "${TROUBLE:-1}"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
