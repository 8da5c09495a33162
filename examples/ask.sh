#!/bin/sh
# Starts three couriers and a toy platform on this machine and submits one message to the second courier. Queries the whole
# fleet through the first courier, then kills the third and queries again. Builds missing binaries. Stops all processes and
# deletes the work folder on exit.
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
sed 's/"enabled": false/"enabled": true/; s/"couriers": \[\]/"couriers": [{"name": "n0", "door": "127.0.0.1:9901"}, {"name": "n1", "door": "127.0.0.1:9902"}, {"name": "n2", "door": "127.0.0.1:9903"}]/' \
    "$here/deploy/ask.json" >"$work/ask.json"
"$toy" >"$work/toy.log" 2>&1 &
pids="$!"
for n in 0 1 2; do
    sed "s/\"name\": \"n0\"/\"name\": \"n$n\"/; s/8081/$((8081 + n))/; s/\"peers\": false/\"peers\": true/" \
        "$here/examples/config.json" >"$work/n$n.json"
    mkdir "$work/state$n"
    "$indigohold" --config "$work/n$n.json" --state "$work/state$n" --ask "$work/ask.json" \
        --control "127.0.0.1:$((9901 + n))" 2>"$work/n$n.log" &
    pids="$pids $!"
    last=$!
done
for n in 0 1 2; do
    attempts=0
    until "$indigohold" --control "127.0.0.1:$((9901 + n))" ready >/dev/null 2>&1; do
        attempts=$((attempts + 1))
        [ $attempts -lt 100 ] || { echo "n$n did not become ready:" >&2; cat "$work/n$n.log" >&2; exit 1; }
        sleep 0.1
    done
done
curl -s -o /dev/null -H 'Req-Id: m1' -H 'Req-Kind: print-order' -H 'Req-Owner: tallowood' -H 'Req-Deadline-Ms: 20000' \
    -H 'X-Addressing: dest=7' -d 'one set of trumpet parts' http://127.0.0.1:8082/api
sleep 0.3
for question in "where m1" "held"; do
    echo "\$ indigohold ask $question"
    # shellcheck disable=SC2086 # the question must split into words
    "$indigohold" --control 127.0.0.1:9901 ask $question
done
echo "the third courier is killed"
kill -9 "$last"
"$indigohold" --control 127.0.0.1:9901 ask held
echo "exit code $?: something is missing"
