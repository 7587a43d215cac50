#!/usr/bin/env bash
# Plays a case: play.sh FOLDER NAME. Ends with 1 if the rule was broken, 0 if it held, 2 if the case
# couldn't run. With TROUBLE=0 the disruption is left out.
set -uo pipefail
folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/.."
REVIEW_TMP=$(mktemp -d)
export REVIEW_TMP REVIEW_RECORD="$folder/record.txt"
end() {
    # Ends what is left of the processes that the player started, by their ids.
    if [ -f "$REVIEW_TMP/pids" ]; then
        while read -r id; do
            grep -qs -e chivevalved -e review/standin "/proc/$id/cmdline" && kill -KILL "$id" 2>/dev/null
        done <"$REVIEW_TMP/pids"
    fi
    rm -rf "$REVIEW_TMP"
}
trap end EXIT
if [ ! -x target/review/standin ]; then
    echo "target/review/standin is missing: run review/build.sh" >&2
    exit 2
fi
timeout -k 2 118 target/review/standin "$2"
code=$?
[ -n "${REVIEW_KEEP:-}" ] && cp -r "$REVIEW_TMP" "$REVIEW_KEEP"
case $code in 0 | 1 | 2) exit $code ;; *) exit 2 ;; esac
