#!/bin/sh
# Plays the case; the exit code says whether the rule was broken (1), held (0) or the case couldn't run (2).
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -f target/review/14.cjs ] && [ -f target/dogwoodhollow.cjs ] || exit 2
exec node target/review/14.cjs "$folder"
