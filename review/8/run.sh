#!/usr/bin/env bash
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
folder=$(mktemp -d) || exit 2
java -cp "$root/target/review-2" EndlessAnswers "$root" "$folder" "$here/record.txt" &
stand=$!
trap 'kill "$stand" 2>/dev/null' TERM INT
wait "$stand"
code=$?
rm -rf "$folder"
[ "$code" = 0 ] || [ "$code" = 1 ] || code=2
exit "$code"
