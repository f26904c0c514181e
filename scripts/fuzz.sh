#!/usr/bin/env bash
# Fuzzes the parsers of untrusted input: scripts/fuzz.sh [SECONDS]. Installs libclang-rt-14-dev if it is
# missing, which requires root. Failing inputs are written to run/fuzz; to replay one, pass it to
# build-fuzz/fuzz_inputs.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-60}
dpkg-query -W -f='${Status}' libclang-rt-14-dev 2>/dev/null | grep -q 'ok installed' ||
  apt-get install -y -qq libclang-rt-14-dev >/dev/null
scripts/build.sh build-fuzz -DCMAKE_CXX_COMPILER=clang++ -DSANITIZE=fuzzer
mkdir -p run/fuzz/corpus
build-fuzz/fuzz_inputs -seed=1 -max_total_time="$seconds" -max_len=8192 -timeout=5 \
  -artifact_prefix=run/fuzz/ -print_final_stats=1 run/fuzz/corpus fuzz/seeds
