#!/bin/sh
# Builds the stand-ins of the cases from 6 on into target/review-2/, after the
# build of the deploy file.  They need the C library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
"${CC:-cc}" -std=c11 -D_GNU_SOURCE -O2 -Wall -Wextra -Werror \
    -o target/review-2/stand-2 review/stand-2.c
