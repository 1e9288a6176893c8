#!/bin/sh
# Builds the stand-ins of the second review's cases into target/. It needs no network.
set -eu
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target
GOWORK=off go build -o ../../target/review-standin-2 .
