#!/bin/sh
# Builds the stand-ins that the cases start. They need only the standard library.
cd "$(dirname "$0")/standin" || exit 2
GOWORK=off CGO_ENABLED=0 exec go build -o ../../target/review-standin .
