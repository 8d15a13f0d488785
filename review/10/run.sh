#!/bin/sh
# See claim.txt. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../standin-2/bin/case ] && [ -x ../../bin/aspenshed ] || { echo "run the build of the deploy file and review/build-2.sh first"; exit 2; }
exec ../standin-2/bin/case first-list .
