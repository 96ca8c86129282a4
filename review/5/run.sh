#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.."
if [ ! -x bin/review-cases ] || [ ! -x target/rudderd ]; then
	echo "run the build of the deploy file and review/build.sh first" >&2
	exit 2
fi
timeout -k 5 110 bin/review-cases run cut-event review/5
status=$?
if [ "$status" -gt 2 ]; then
	exit 2
fi
exit "$status"
