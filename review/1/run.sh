#!/bin/sh
# Case 1. Exit status 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 plays it without the freeze.
exec python3 "$(dirname "$0")/play_case_1.py"
