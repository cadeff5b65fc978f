#!/usr/bin/env bash
# Distributed under the BSD 3-Clause License. See LICENSE for details.
#
# Builds the stand-ins of the cases under review/ into review/built/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p built
for case in standIns/case*.cxx; do
  g++ -std=c++17 -O2 -Wall -Wextra -pthread -o "built/$(basename "$case" .cxx)" \
    "$case" standIns/standIns.cxx
done
