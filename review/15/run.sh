#!/bin/sh
# Plays the case with real processes on loopback addresses; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-3/stand term review/15/record.txt
