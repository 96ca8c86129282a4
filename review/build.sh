#!/usr/bin/env bash
# Builds the stand-ins and scripts of the review into bin/. target/rudderd comes from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-cases review/cases/*.go
