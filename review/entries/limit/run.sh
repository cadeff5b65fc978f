#!/usr/bin/env bash
# Distributed under the BSD 3-Clause License. See LICENSE for details.
#
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")" || exit 2
program=../../../target/Source/gradescaled
stand=../../built/caseLimit
[ -x "$program" ] && [ -x "$stand" ] || exit 2
folder=$(mktemp -d) || exit 2
timeout -k 5 115 "$stand" "$program" "$folder" record.txt "${TROUBLE:-1}"
result=$?
rm -rf "$folder"
[ "$result" -le 1 ] && exit "$result"
exit 2
