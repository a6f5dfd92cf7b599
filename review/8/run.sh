#!/usr/bin/env bash
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if it did not run.
cd "$(dirname "$0")" || exit 2
PYTHONPATH=.. exec python3 case.py
