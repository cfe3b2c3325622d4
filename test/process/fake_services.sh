#!/bin/bash
# Tests cf-fake-rater and cf-fake-weights, the stand-ins for the rating service
# and the weight store.
. "$(dirname "$0")/tools.bash"
stats() { curl -s -m 5 "http://$1/fake/stats"; }

start sink cf-fake-engine --listen 127.0.0.1:0 --leave-ms 0
sink=$addr
start rater cf-fake-rater --listen 127.0.0.1:0 --post "http://$sink" --delay-ms 20
rater=$addr
answer() { curl -s -m 5 -o /dev/null -w '%{http_code}' -d "$1" "http://$rater/v1/answers"; }
check 'an answer is taken' 202 \
    "$(answer '{"workspace":"w","version":"m/1","task_class":0,"text":"re:t pass end"}')"
check 'an answer without text is refused' 400 "$(answer '{"workspace":"w"}')"
until_says '"posted":1' stats "$rater"
check 'its rating is posted' 0 $?
until_says '"failed":1' stats "$rater"
check 'a rating that is not taken counts as failed' 0 $?

start weights cf-fake-weights --listen 127.0.0.1:0 --bytes-per-s 1000 --burst-bytes 1000
get() { curl -s -m 5 -o /dev/null -D - "http://$addr/v1/weights/m-1?bytes=$1" | tr -d '\r'; }
has 'bytes inside the rate are granted' ' 200 ' "$(get 1000)"
got=$(get 1000)
has 'bytes over the rate are refused' ' 429 ' "$got"
has 'with the time to wait' 'Retry-After: 1' "$got"
has 'more than the burst is never granted' ' 400 ' "$(get 1001)"
