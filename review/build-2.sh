#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into build-review-2/. Needs a C
# compiler and the C library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build-review-2
for case in 6 7 8 9 10; do
    if [ -f "review/$case/case.c" ]; then
        "${CC:-cc}" -std=gnu11 -O1 -Wall -Wextra -Wno-unused-parameter \
            "review/$case/case.c" review/standin-2/world.c -o "build-review-2/case-$case"
    fi
done
