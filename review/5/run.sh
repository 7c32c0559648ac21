#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.."
PYTHONPATH=. exec timeout 118 python3 review/5/scenario.py
