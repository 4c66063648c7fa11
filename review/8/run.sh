#!/bin/sh
# Runs the case; TROUBLE=0 runs it without the disruption. Exit codes: 1 broken, 0 held, 2 not run.
cd "$(dirname "$0")/../.." && exec python3 review/8/main.py
