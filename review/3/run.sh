#!/bin/sh
# Case 3. Exit status 1: the rule was broken; 0: it held; 2: the case could not run.
# TROUBLE=0 plays it with the limit raised before the clients connect.
exec python3 "$(dirname "$0")/play_case_3.py"
