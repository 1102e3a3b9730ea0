#!/bin/sh
# Builds the stand-ins of review 2: Python without dependencies, compiled here
# so that a fault in them shows before a script runs.
cd "$(dirname "$0")" && python3 -m compileall -q standins-2 [4-8]
