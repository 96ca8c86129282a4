#!/bin/sh
# Plays the case accepted-late-and-cut; see claim.txt. TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
for program in target/rudderd bin/review-3; do
	[ -x "$program" ] || { echo "$program is missing" >&2; exit 2; }
done
exec bin/review-3 accepted-late-and-cut review/15/record.txt
