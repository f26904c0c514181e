#!/usr/bin/env bash
# Checks format and style: scripts/lint.sh [--fix]. With --fix the formatter changes the files.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files --cached --others --exclude-standard 'src/*.cpp' 'src/*.h' 'platform/*.cpp' 'platform/*.h' 'tests/*.cpp' 'tests/*.h' 'fuzz/*.cpp')
if [ "${1:-}" = --fix ]; then
  clang-format -i "${files[@]}"
  exit 0
fi
clang-format --dry-run -Werror "${files[@]}"
# The tier knows nothing of the platform: its names stand in platform/, deploy/ and docs/ only.
names='X-Apricotyard|heartbeat_addr|traffic_split|warmup_left|path_prefix|APRICOTYARD_BOOT|control_plane|route_type|"/resolve|/instances'
if git grep -nIiE "$names" -- src proto tests charts scripts ':!scripts/lint.sh' ':!tests/test_platform_wire.cpp'; then
  echo "a name of the platform outside platform/ and deploy/"
  exit 1
fi
[ -f build/compile_commands.json ] || scripts/build.sh build
# Results are kept by content, so that an unchanged file is not analysed twice.
cache=${APRICOT_LINT_CACHE:-$HOME/.cache/apricot-lint}
mkdir -p "$cache"
headers=$(find src platform tests gen .clang-tidy -name "*.h" -o -name "*.def" -o -name .clang-tidy | sort | xargs cat | sha256sum | cut -c1-16)
export cache headers
check() {
  key="$cache/$headers-$(sha256sum <"$1" | cut -c1-32)"
  [ -f "$key" ] && return 0
  clang-tidy --quiet -p build "$1" 2>/dev/null && touch "$key"
}
export -f check
printf '%s\n' "${files[@]}" | grep -E '^(src|platform|tests)/.*\.cpp$' | xargs -P 8 -I{} bash -c 'check {}'
echo "format and style are clean: ${#files[@]} files"
