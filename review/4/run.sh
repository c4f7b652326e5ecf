#!/usr/bin/env bash
# The store cuts a watch that waits.
dir=$(cd "$(dirname "$0")" && pwd) || exit 2
exec "$dir/../run-case.sh" drain "$dir"
