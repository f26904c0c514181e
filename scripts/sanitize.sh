#!/usr/bin/env bash
# Builds and runs the tests with a sanitizer: scripts/sanitize.sh address|thread [TEST NAME]. address
# includes the undefined behavior sanitizer.
set -euo pipefail
cd "$(dirname "$0")/.."
case "${1:-}" in
  address | thread) ;;
  *) echo "usage: scripts/sanitize.sh address|thread [TEST NAME]" >&2; exit 2 ;;
esac
scripts/build.sh "build-$1" "-DSANITIZE=$1" -DCMAKE_BUILD_TYPE=Debug
export UBSAN_OPTIONS=halt_on_error=1:print_stacktrace=1
export TSAN_OPTIONS=halt_on_error=1:suppressions=$PWD/scripts/thread.supp
"build-$1/apricot-tests" "${@:2}"
