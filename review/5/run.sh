#!/bin/sh
# Case 5, see claim.txt. TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x review/bin/departed ] || { echo "run review/build.sh first" >&2; exit 2; }
folder=$(mktemp -d) || exit 2
review/bin/departed "$here" "$folder"
code=$?
rm -rf "$folder"
exit $code
