#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruptions out.
exec timeout 110 python3 "$(dirname "$0")/run.py"
