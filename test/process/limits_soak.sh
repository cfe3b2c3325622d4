#!/bin/bash
# The soak of repeats_soak.sh, in which one server names a limit.
: "${CF_LIMIT:=4}"
. "$(dirname "$0")/repeats_soak.sh"
