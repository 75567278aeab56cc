#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
program=review/build/case-$(basename "$folder")
[ -x "$program" ] || { echo "run review/build.sh first"; exit 2; }
exec "$program" "$folder"
