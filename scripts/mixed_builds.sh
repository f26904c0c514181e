#!/usr/bin/env bash
# Runs processes of this build beside those of another commit: scripts/mixed_builds.sh COMMIT. Builds the other
# commit in the folder build-COMMIT. Not part of CI, which has no other build.
set -euo pipefail
cd "$(dirname "$0")/.."
commit=$(git rev-parse --short "${1:?commit of the previous build}")
folder=build-$commit
[ -d "$folder/source" ] || git worktree add --detach "$folder/source" "$commit"
(cd "$folder/source" && scripts/build.sh build)
scripts/build.sh build
build/apricot-tests --mixed-builds "$folder/source/build/apricot-tests"
