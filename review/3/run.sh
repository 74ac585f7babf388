#!/usr/bin/env bash
# Takes streams up again at a host that is partitioned from the store while a newer version begins; see claim.txt.
# TROUBLE=0 leaves out the partition and the crash of the worker, CUT=0 only the partition.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review/joincase ] && [ -x target/cicadanotchd ] || exit 2
export TROUBLE=${TROUBLE:-1}
timeout -k 5 110 target/review/joincase "$here/record.txt"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
