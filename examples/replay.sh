#!/bin/sh
# Starts three couriers with history and gossip and a toy platform on this machine, and submits two messages to each courier. Plans
# a replay of all messages and orders it at the first courier. The third courier is killed before the order, is reported as missing,
# and replays its messages after its restart. Builds missing binaries. Stops all processes and deletes the work folder on exit.
set -u
here=$(cd "$(dirname "$0")/.." && pwd)
indigohold=${INDIGOHOLD:-$here/target/release/indigohold}
toy=${TOY_SERVER:-$here/target/release/examples/toy_server}
if [ ! -x "$indigohold" ] || [ ! -x "$toy" ]; then
    (cd "$here" && cargo build --release && cargo build --release --example toy_server) || exit 1
fi
work=$(mktemp -d)
pids=""
trap 'for pid in $pids; do kill "$pid" 2>/dev/null; done; rm -rf "$work"' EXIT
echo '{"enabled": true, "beat_ms": 500}' >"$work/shared.json"
cat >"$work/history.json" <<END
{"enabled": true, "disk_kb": 2048, "quorum": 0.5, "fresh_s": 60, "replay": {"per_s": 20},
 "policies": [{"tenant": "tallowood", "version": 1, "keep_s": 86400, "replay": true, "replays": 1}]}
END
start() {
    "$indigohold" --config "$work/n$1.json" --state "$work/state$1" --channel "$work/channel$1.json" \
        --shared "$work/shared.json" --history "$work/history.json" --control "127.0.0.1:$((9901 + $1))" 2>>"$work/n$1.log" &
    last=$!
    pids="$pids $last"
}
"$toy" >"$work/toy.log" 2>&1 &
pids="$!"
for n in 0 1 2; do
    mkdir "$work/state$n"
    sed "s/\"name\": \"n0\"/\"name\": \"n$n\"/; s/8081/$((8081 + n))/; s/\"peers\": false/\"peers\": true/; \
        s/\"balancers\": 1/\"balancers\": 3, \"me\": $n/; s/\"disk_mb\": 3/\"disk_mb\": 16/; \
        s/\"listen\":/\"peer_listen\": \"127.0.0.1:$((7400 + n))\", \"peers\": [\"127.0.0.1:7400\", \"127.0.0.1:7401\", \"127.0.0.1:7402\"], \"listen\":/" \
        "$here/examples/config.json" >"$work/n$n.json"
    echo "{\"socket\": \"$work/n$n.sock\"}" >"$work/channel$n.json"
    start $n
done
for n in 0 1 2; do
    attempts=0
    until "$indigohold" --control "127.0.0.1:$((9901 + n))" ready >/dev/null 2>&1; do
        attempts=$((attempts + 1))
        [ $attempts -lt 100 ] || { echo "n$n did not become ready:" >&2; cat "$work/n$n.log" >&2; exit 1; }
        sleep 0.1
    done
    for message in a b; do
        curl -s -o /dev/null -H "Req-Id: $message$n" -H 'Req-Kind: render-status' -H 'Req-Owner: tallowood' \
            -H 'Req-Deadline-Ms: 5000' -H 'X-Addressing: dest=7' -d 'one set of trumpet parts' "http://127.0.0.1:$((8081 + n))/api"
    done
done
sleep 4
set -- --tenant tallowood --destination 7 --since 2020-01-01T00:00:00Z --until 2199-01-01T00:00:00Z --reason T-311
echo "\$ indigohold replay plan $*"
"$indigohold" replay plan "$@" --socket "$work/n0.sock"
echo "the third courier is killed; the order is given at the first"
kill -9 "$last"
sleep 4
"$indigohold" replay run "$@" --socket "$work/n0.sock"
sleep 3
echo "\$ indigohold replay status    (at the second)"
"$indigohold" replay status --socket "$work/n1.sock"
echo "exit code $?: the replay of one courier is missing; the third courier is started again"
start 2
sleep 8
"$indigohold" replay status --socket "$work/n1.sock"
