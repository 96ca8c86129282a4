#!/bin/sh
# Builds the program of the scripts 11 to 15 of the third review, with its stand-ins. The build of the deploy file comes first.
cd "$(dirname "$0")/.." || exit 2
exec go build -trimpath -o bin/review-3 review/rig-3/*.go
