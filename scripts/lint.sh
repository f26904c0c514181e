#!/usr/bin/env bash
# Checks the C++ files with clang-format and clang-tidy: scripts/lint.sh [--fix]. With --fix it only
# reformats the files.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files --cached --others --exclude-standard 'src/*.cpp' 'src/*.h' 'platform/*.cpp' 'platform/*.h' 'tests/*.cpp' 'tests/*.h' 'fuzz/*.cpp')
if [ "${1:-}" = --fix ]; then
  clang-format -i "${files[@]}"
  exit 0
fi
clang-format --dry-run -Werror "${files[@]}"
# The code outside platform/ must not depend on the platform that it runs on. Headers, settings and paths
# of the platform may be named only in platform/, deploy/, docs/ and the test of the adapter.
platform_names='X-Apricotyard|heartbeat_addr|traffic_split|warmup_left|path_prefix|APRICOTYARD_BOOT|control_plane|route_type|"/resolve|/instances'
if git grep -nIiE "$platform_names" -- src proto tests charts scripts ':!scripts/lint.sh' ':!tests/test_platform_wire.cpp'; then
  echo "error: the lines above name parts of the platform outside platform/, deploy/ and docs/"
  exit 1
fi
[ -f build/compile_commands.json ] || scripts/build.sh build
# clang-tidy skips files that it found clean before. The cache key hashes the file, all headers and the
# clang-tidy settings.
cache=${APRICOT_LINT_CACHE:-$HOME/.cache/apricot-lint}
mkdir -p "$cache"
headers_hash=$(find src platform tests gen .clang-tidy -name "*.h" -o -name "*.def" -o -name .clang-tidy | sort | xargs cat | sha256sum | cut -c1-16)
export cache headers_hash
check() {
  key="$cache/$headers_hash-$(sha256sum <"$1" | cut -c1-32)"
  [ -f "$key" ] && return 0
  clang-tidy --quiet -p build "$1" 2>/dev/null && touch "$key"
}
export -f check
printf '%s\n' "${files[@]}" | grep -E '^(src|platform|tests)/.*\.cpp$' | xargs -P 8 -I{} bash -c 'check {}'
echo "format and style are clean: ${#files[@]} files"
