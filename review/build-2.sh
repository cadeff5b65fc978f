#!/bin/bash
# Builds what the scripts of the second review start, into build/review-2.
# Needs the build of the deploy file, and the packages that it names.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/[4-8]/*.cxx; do
  [ -e "$source" ] || continue
  g++ -std=c++17 -O1 -pthread -o "build/review-2/$(basename "$source" .cxx)" "$source"
done
