#!/usr/bin/env bash
# Compiles the stand-ins of cases 6 to 10; they use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins_2
