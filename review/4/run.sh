#!/bin/sh
# Plays the case; TROUBLE=0 leaves the disruption out. See ../build.sh for the stand-ins.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-standin drain review/4
