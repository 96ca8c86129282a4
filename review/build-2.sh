#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They use only the standard library.
cd "$(dirname "$0")/.." || exit 2
mkdir -p bin
exec go build -o bin/review-cases-2 review/standins/*.go
