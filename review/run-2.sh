#!/bin/sh
# run-2.sh CASE N: runs the case CASE of the stand-in for the folder review/N.
# TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run.
cd "$(dirname "$0")/.." || exit 2
RECORD="$PWD/review/$2/record.txt"
ROUTER=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)
[ -x "${ROUTER%% *}" ] && [ -x target/review-2/standin ] || exit 2
FOLDER=$(mktemp -d) || exit 2
export RECORD ROUTER FOLDER
timeout -k 2 112 target/review-2/standin "$1"
code=$?
# Only after a time-out or a crash of the stand-in are there processes left.
if [ -s "$FOLDER/pids" ]; then
    while read -r pid; do
        kill -CONT "$pid" 2>/dev/null
        kill -KILL "$pid" 2>/dev/null
    done < "$FOLDER/pids"
fi
[ -n "$KEEP" ] && cp -r "$FOLDER" "$KEEP"
rm -rf "$FOLDER"
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
