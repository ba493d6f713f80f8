# Plays one case in the repository's root and leaves no process behind.
if [ ! -x target/review/review-case ] || [ ! -x target/release/yuccalinkd ]; then
    echo "could not run: build deploy/system.toml and review/build.sh first" >&2
    exit 2
fi
REVIEW_PIDS=$(mktemp) || exit 2
export REVIEW_PIDS
target/review/review-case "$number" "review/$number" &
play=$!
end_all() {
    kill "$play" 2>/dev/null
    while read -r id || [ -n "$id" ]; do
        kill -9 "$id" 2>/dev/null
    done <"$REVIEW_PIDS"
    rm -f "$REVIEW_PIDS"
    exit 2
}
trap end_all INT TERM HUP
wait "$play"
result=$?
rm -f "$REVIEW_PIDS"
exit "$result"
