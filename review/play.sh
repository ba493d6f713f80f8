# Plays one case in the repository's root. Leaves no process and no folder behind.
if [ ! -x target/review/review-case ] || [ ! -x target/release/yuccalinkd ]; then
    echo "could not run: build deploy/system.toml and review/build.sh first" >&2
    exit 2
fi
folder=$(mktemp -d) || exit 2
TMPDIR=$folder
REVIEW_PIDS=$folder/pids
export TMPDIR REVIEW_PIDS
: >"$REVIEW_PIDS"
target/review/review-case "$number" "review/$number" &
play=$!
end_all() {
    while read -r id || [ -n "$id" ]; do
        kill -9 "$id" 2>/dev/null
    done <"$REVIEW_PIDS"
    rm -rf "$folder"
}
trap 'kill -9 "$play"; wait "$play"; end_all; exit 2' INT TERM HUP
wait "$play"
result=$?
end_all
case $result in
0 | 1) exit "$result" ;;
*) exit 2 ;;
esac
