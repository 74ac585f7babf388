#!/usr/bin/env bash
# Needs the build of the deploy file and review/build-3.sh. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
timeout -k 2 115 target/review-3/refusedcase review/13
code=$?
case $code in 0 | 1) exit $code ;; esac
exit 2
