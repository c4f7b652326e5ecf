#!/usr/bin/env bash
# An entry gets SIGTERM.
dir=$(cd "$(dirname "$0")" && pwd) || exit 2
exec "$dir/../run-case.sh" stop "$dir"
