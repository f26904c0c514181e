#!/bin/sh
# Builds the stand-ins that the cases start, into review/bin. Needs g++ only.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for source in tools/*.cpp; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "bin/$(basename "$source" .cpp)" "$source"
done
