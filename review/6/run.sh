#!/usr/bin/env bash
# Plays the case; TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." && PYTHONPATH=review exec python3 review/6/play_6.py
