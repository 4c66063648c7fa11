#!/usr/bin/env bash
# TROUBLE=0 plays the case without its disruption, which must pass.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
exec python3 case.py --trouble "${TROUBLE:-1}"
