#!/bin/sh
# Plays the case with real processes on loopback addresses: exit code 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/stand ] || { echo "run review/build-3.sh first"; exit 2; }
target/review-3/stand twice review/11/record.txt &
pid=$!
# If this script is ended early, it ends the processes of the case too.
trap 'kill -KILL $(ps -o pid= --ppid "$pid") "$pid" 2>/dev/null; exit 2' TERM INT
wait "$pid"
