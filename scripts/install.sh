#!/usr/bin/env bash
# Installs the packages that the build and the tests need on Debian 12. Installing missing packages
# requires root.
set -euo pipefail
packages=(
  g++ cmake ninja-build ccache pkg-config clang-format clang-tidy openssl
  libabsl-dev libgrpc++-dev libprotobuf-dev protobuf-compiler protobuf-compiler-grpc
  libboost-dev libtomlplusplus-dev libpopt-dev
  libfmt-dev libexpected-dev libcppunit-dev nlohmann-json3-dev libxxhash-dev libssl-dev zlib1g-dev
  librapidcheck-dev gnuplot-nox curl
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' ||
    missing+=("$package")
done
if [ ${#missing[@]} -gt 0 ]; then
  export DEBIAN_FRONTEND=noninteractive
  apt-get update -qq
  apt-get install -y -qq "${missing[@]}" >/dev/null
fi
