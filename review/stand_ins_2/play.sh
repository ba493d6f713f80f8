# Sourced by the scripts of the cases: plays one case in a temporary folder, for 115 s at most, and
# ends the daemons that it started. Expects the folder of the case in $here.
end_daemons() {
    if [ -f "$folder/pids" ]; then
        while read -r pid; do
            kill -KILL "$pid" 2>/dev/null || true
        done <"$folder/pids"
    fi
    rm -rf "$folder"
}

play() {
    cd "$here/../.." || exit 2
    program=target/review-2/stand_ins_2
    if [ ! -x "$program" ] || [ ! -x target/release/yuccalinkd ]; then
        echo "build first: the build of deploy/system.toml, then sh review/build-2.sh"
        exit 2
    fi
    folder=$(mktemp -d) || exit 2
    CASE_FOLDER=$folder timeout 115 "$program" "$1" "$here/record.txt" &
    case_pid=$!
    trap 'kill "$case_pid" 2>/dev/null; wait "$case_pid"; end_daemons; exit 2' INT TERM HUP
    code=0
    wait "$case_pid" || code=$?
    end_daemons
    case $code in
    0 | 1) exit "$code" ;;
    *) exit 2 ;;
    esac
}
