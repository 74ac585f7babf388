#!/usr/bin/env bash
# Plays a drill of the store and the loss of two leaders around a usage report; see claim.txt. TROUBLE=0 leaves all of it
# out, DRILL=0 only the drill, KILLS=1 only the second kill.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review/usagecase ] && [ -x target/cicadanotchd ] || exit 2
export TROUBLE=${TROUBLE:-1}
timeout -k 5 110 target/review/usagecase "$here/record.txt"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
