#!/bin/sh
# Builds the stand-in program that all cases of the review start.
set -e
cd "$(dirname "$0")/standin"
GOWORK=off GOTOOLCHAIN=local go build -buildvcs=false -o standin .
