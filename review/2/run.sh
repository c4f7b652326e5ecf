#!/usr/bin/env bash
# A replica spoils one byte of an answer.
dir=$(cd "$(dirname "$0")" && pwd) || exit 2
exec "$dir/../run-case.sh" events "$dir"
