#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x build/review-2/longQuery ] && [ -x "${GRADESCALED:-target/Source/gradescaled}" ] || exit 2
timeout -k 2 110 build/review-2/longQuery "$folder"
code=$?
[ $code -eq 0 ] || [ $code -eq 1 ] || code=2
exit $code
