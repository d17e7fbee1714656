# Read by the run.sh of each case: starts three replicas and a gateway with the commands of deploy/system.toml, and runs the case's program.
# Settings are those that the templates in deploy/ give for a front machine of 110 MB and core machines of 256 MB, on loopback addresses.
set -uo pipefail

tools=target/review-2
folder=$(mktemp -d) || exit 2
started=()

end_all() {
    { for pid in "${started[@]}"; do kill -KILL "$pid"; done; wait; } 2>/dev/null
    rm -rf "$folder"
}
trap end_all EXIT
trap 'exit 2' INT TERM

# serve NAME SETTINGS: the command of the deploy file, with the settings in a temporary folder
serve() {
    printf '%s\n' "$2" >"$folder/$1.json"
    target/app/apricothead serve "--settings=$folder/$1.json" >"$folder/$1.log" 2>&1 &
    started+=($!)
}

# run_case PROGRAM CASE_FOLDER
run_case() {
    local program=$1 record=$2/record.txt trouble=${TROUBLE:-1}
    [ -x "$tools/$program" ] && [ -x target/app/apricothead ] || { echo "build with deploy/system.toml and review/build-2.sh first" >&2; exit 2; }
    local ports
    read -r -a ports <<<"$("$tools/ports" 10)"
    local replicas=("127.0.0.1:${ports[0]}" "127.0.0.1:${ports[1]}" "127.0.0.1:${ports[2]}")
    local controls=("127.0.0.1:${ports[3]}" "127.0.0.1:${ports[4]}" "127.0.0.1:${ports[5]}")
    local seeds="\"${replicas[0]}\",\"${replicas[1]}\",\"${replicas[2]}\"" number
    for number in 0 1 2; do
        serve "core-$number" "{\"process\":\"core-$number\",\"region\":\"region-1\",\"availabilityZone\":\"zone-a\",\"seeds\":[$seeds],
            \"memoryMb\":256,\"timing\":{\"shutdownMs\":7800},
            \"replica\":{\"address\":\"${replicas[$number]}\",\"dataFolder\":\"$folder/data-$number\",\"bootstrap\":true,\"snapshotEvery\":64},
            \"control\":{\"address\":\"${controls[$number]}\",\"zones\":[\"zone-a\"]}}"
    done
    local door="127.0.0.1:${ports[6]}" ready="127.0.0.1:${ports[7]}"
    # A case that needs two gateways sets GATEWAYS=2; consumers come to the first.
    for number in $(seq "${GATEWAYS:-1}"); do
        serve "front-$number" "{\"process\":\"front-$number\",\"region\":\"region-1\",\"availabilityZone\":\"zone-a\",\"seeds\":[$seeds],
            \"memoryMb\":110,\"timing\":{\"shutdownMs\":7800,\"linkHeartbeatMs\":500},
            \"gateway\":{\"callerAddress\":\"$door\",\"readyAddress\":\"$ready\",\"revocationMs\":5000,\"sessionSeconds\":5,
                \"retryRatio\":0.9,\"retryWindowSeconds\":10,\"retrySlack\":56,\"graceSeconds\":8}}"
        door="127.0.0.1:${ports[8]}"
        ready="127.0.0.1:${ports[9]}"
    done
    door="127.0.0.1:${ports[6]}"
    ready="127.0.0.1:${ports[7]}"
    local gateway=${started[3]}
    echo "case $2, TROUBLE=$trouble" >"$record"
    timeout -k 1 105 "$tools/$program" "$(IFS=,; echo "${controls[*]}")" "$door" "$ready" "$gateway${started[4]:+,${started[4]}}" "$record" "$trouble"
    local code=$?
    if ! kill -0 "$gateway" 2>/dev/null; then
        echo "the gateway has ended by itself" >>"$record"
    fi
    case $code in
    0 | 1) ;;
    *) code=2 ;;
    esac
    echo "exit $code" >>"$record"
    exit $code
}
