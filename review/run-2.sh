#!/bin/sh
# Runs one case: the name of its program in target/review-2, and its folder in review/. Exit codes: 1 the rule was broken,
# 0 it held, 2 the case could not run.
cd "$(dirname "$0")/.." || exit 2
for file in "target/review-2/$1" target/release/indigohold; do
    [ -x "$file" ] || { echo "$file is not built" >&2; exit 2; }
done
"target/review-2/$1" "review/$2/record.txt"
case $? in
    0) exit 0 ;;
    1) exit 1 ;;
    *) exit 2 ;;
esac
