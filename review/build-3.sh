#!/usr/bin/env bash
# Builds the stand-ins of the third review: they are of Python's standard library alone,
# so that they are only compiled. The VMs are built by the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m py_compile review/standins_3/*.py
for case in review/1[1-5]/*.py; do
  [ ! -e "$case" ] || python3 -m py_compile "$case"
done
