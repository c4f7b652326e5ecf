#!/usr/bin/env bash
# Runs one case: run-case.sh CASE DIR. Writes DIR/record.txt and ends all processes that it started.
set -u
cd "$(dirname "$0")/.." || exit 2
case=$1 dir=$2
for program in target/release/papaya-entry target/review/rig; do
  [ -x "$program" ] || { echo "$program is missing: build it first" >&2; exit 2; }
done
REVIEW_PIDS=$(mktemp) || exit 2
export REVIEW_PIDS
end_all() {
  [ -z "${rig:-}" ] || kill "$rig" 2>/dev/null
  while read -r pid; do kill -KILL "$pid" 2>/dev/null; done < "$REVIEW_PIDS"
  rm -f "$REVIEW_PIDS"
}
trap end_all EXIT
trap 'exit 2' INT TERM
# Ends a run that hangs.
timeout 115 target/review/rig "$case" "$dir/record.txt" &
rig=$!
wait "$rig"
code=$?
rig=
[ "$code" -le 2 ] || code=2
exit "$code"
