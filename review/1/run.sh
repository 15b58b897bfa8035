#!/bin/sh
# Case 1. Exit status 1: the rule was broken; 0: it held; 2: the case could not run.
# TROUBLE=0 plays it without the freeze.
folder=$(dirname "$0")
rm -f "$folder/record.txt"
python3 "$folder/play_case_1.py" &
player=$!
trap 'kill "$player"' TERM INT
wait "$player"
status=$?
# A script that could not even start must not look like a broken rule.
if [ "$status" -eq 1 ] && grep -q "result: the rule was broken" "$folder/record.txt"; then exit 1; fi
if [ "$status" -eq 0 ]; then exit 0; fi
exit 2
