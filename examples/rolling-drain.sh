#!/bin/sh
# Drains instances in batches: rolling-drain.sh BATCH DEADLINE SOCKET...
# Stops at the first batch in which messages were given up. Add your own step between drain and close.
set -u
batch=$1 deadline=$2
shift 2
indigohold=${INDIGOHOLD:-target/release/indigohold}
while [ $# -gt 0 ]; do
    sockets=""
    count=0
    while [ $# -gt 0 ] && [ $count -lt "$batch" ]; do
        "$indigohold" drain start --socket "$1" --by "$deadline" --reason "rolling drain" || exit 1
        sockets="$sockets $1"
        count=$((count + 1))
        shift
    done
    for socket in $sockets; do
        "$indigohold" drain watch --socket "$socket"
        case $? in
        0 | 5) ;;
        *)
            echo "$socket: not emptied cleanly; stopping here" >&2
            exit 1
            ;;
        esac
        # The instance is empty here: move or replace it. A new instance with the same state folder continues the drain.
        "$indigohold" drain close --socket "$socket" || exit 1
    done
done
