#!/bin/bash
# Builds the stand-ins of the scripts in this folder.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
cc -std=gnu11 -O2 -Wall -Wextra -pthread -o review/bin/peer review/peer.c
