#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 and later start, into build-review-3/. They are plain
# C++ programs without a library of their own. The project's programs are those of the deploy file, in
# target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-3
for source in review/tools-3/*_case.cpp; do
  name=$(basename "$source" .cpp)
  ${CXX:-g++} -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "build-review-3/$name"
done
