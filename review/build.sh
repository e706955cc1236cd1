#!/bin/sh
# Builds the stand-ins of the scripts. They are Python modules without dependencies, so
# that this only checks that they compile.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q .
