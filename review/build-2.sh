#!/bin/bash
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. They are Python 3.11
# programs without dependencies, so that this only checks that they can be read.
set -e
cd "$(dirname "$0")"
python3 - standins-2/*.py [6-9]/run.py 10/run.py <<'CHECK'
import ast
import os
import sys

assert sys.version_info >= (3, 11), "Python 3.11 or newer is needed"
for path in sys.argv[1:]:
    if os.path.exists(path):
        with open(path, encoding="utf-8") as file:
            ast.parse(file.read(), path)
CHECK
