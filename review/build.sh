#!/bin/sh
# The stand-ins are plain Python 3.11 without dependencies: compiled here only
# to show that they can be.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q standins 1 2 3
