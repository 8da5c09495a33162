# Common to the cases: sourced by each run.sh. Starts processes, keeps their ids, and ends them all.
# A case sets nothing but TROUBLE; it exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
set -uo pipefail
case_dir=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
cd "$root" || exit 2
TROUBLE=${TROUBLE:-1}
standin=$root/target/review/release/standin
record=$case_dir/record.txt
tmp=$(mktemp -d) || exit 2
pids=()
started=$(date +%s%3N)

finish() {
    for pid in "${pids[@]}"; do
        kill -KILL "$pid" 2>/dev/null
        wait "$pid" 2>/dev/null
    done
    rm -rf "$tmp"
}
trap finish EXIT
trap 'exit 2' INT TERM

cannot_run() {
    echo "can't run: $*" | tee -a "$record" >&2
    exit 2
}

[ -x "$standin" ] || { echo "build the stand-ins first: bash review/build.sh" >&2; exit 2; }
[ -x target/release/indigohold ] || { echo "build the program first: cargo build --release" >&2; exit 2; }
: >"$record"

# note TEXT: a line of the record by the script itself.
note() {
    local ms=$(($(date +%s%3N) - started))
    printf '%8s script: %s\n' "$((ms / 1000)).$(printf %03d $((ms % 1000)))" "$*" >>"$record"
}

# until_line SECONDS PATTERN [FILE]: waits until a line of the file (the record) matches.
until_line() {
    local end=$((SECONDS + $1))
    until grep -q -- "$2" "${3:-$record}" 2>/dev/null; do
        [ $SECONDS -lt $end ] || return 1
        sleep 0.05
    done
}

# start_mail_server NAME PORT [BEHAVIOUR...]
start_mail_server() {
    "$standin" mail-server "$1" "$record" "$started" "127.0.0.1:$2" "${@:3}" &
    pids+=($!)
}

# start_courier: by the deploy file's `run`, with the files of $tmp; waits until it is ready.
start_courier() {
    local run
    run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
    mkdir -p "$tmp/state" "$tmp/tmp"
    env -u NODE_DISCOVERY -u NODE_LISTEN -u NODE_CONTROL -u NODE_LISTEN_FD TMPDIR="$tmp/tmp" \
        NODE_NAME=n1 NODE_CONFIG="$tmp/config.json" NODE_STATE="$tmp/state" NODE_MAIL="$tmp/mail.json" \
        /bin/sh -c "$run" >"$tmp/courier.log" 2>&1 &
    courier=$!
    pids+=($courier)
    until_line 15 'ready; ' "$tmp/courier.log" || cannot_run "the courier is not ready: $(tail -n 3 "$tmp/courier.log")"
    note "the courier is ready"
}

# stop_courier: a planned restart's end: SIGTERM, SIGKILL 3.7 s later if it still runs, and 0.6 s until the next start.
stop_courier() {
    note "SIGTERM to the courier"
    kill -TERM "$courier"
    local end=$(($(date +%s%3N) + 3700))
    while kill -0 "$courier" 2>/dev/null && [ "$(date +%s%3N)" -lt $end ]; do sleep 0.05; done
    kill -KILL "$courier" 2>/dev/null && note "SIGKILL to the courier"
    wait "$courier" 2>/dev/null
    note "the courier has ended"
    sleep 0.6
}

# write_config CLASSES: the courier's configuration, with these entries of `profiles`. The settings are those of the
# site score-delivery, for one courier.
write_config() {
    cat >"$tmp/config.json" <<CONFIG
{"name": "n1", "seed": "8c1f30d27a5be964",
 "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
 "settings": {
  "balancers": 1, "discovery": "subscribe", "failureDomains": ["gympie-road-dc"], "family": "deliver",
  "familyInfo": {"bundleMax": [1, 1], "fades": "by_half", "kindApart": [false, false], "slots": 7},
  "invariants": {"answerSlack": 20000, "cold": 11000000, "coldShare": 0.18, "mustAskIn": 10000000,
   "overloadFactor": 2.0, "stopSendingWithin": 250000, "tipAfter": 1500000},
  "kinds": ["print-house", "community"],
  "limits": {"cancel": true, "connIdle": 5000000, "connectTimeout": 1500000, "maxOpen": 157,
   "maxRetryAfter": 3000000, "parallelTries": false, "peers": false, "probing": false, "tryLimit": 8},
  "loadReport": {"names": ["x0", "x1"], "via": "inline"}, "overShareWorth": 0.2, "period": 5000,
  "profiles": [$1],
  "tenants": [{"name": "tallowood", "quotaPerS": 120.0, "share": 1.0}], "weights": "nominal"}}
CONFIG
}

print_order='{"name": "print-order", "aim": 3000000, "deadline": 20000000, "group": "all", "idempotency": "token",
  "lateWorth": 0.3, "repeatWindow": 8000000, "worth": 2.0}'
render_status='{"name": "render-status", "aim": 800000, "deadline": 5000000, "group": "all", "idempotency": "pure",
  "lateWorth": 0.1, "repeatWindow": 5000000, "worth": 1.0}'

# write_mail SMTP_PORT PRINT_PORT HOME_PORT: the mail front's file and its zone. One print house takes orders by
# mail; the Authority's own domain gets the bounces. Other settings are those of deploy/mail.json.
write_mail() {
    cat >"$tmp/mail.json" <<MAIL
{"enabled": true, "hostname": "courier.tallowood.example", "smtp": "127.0.0.1:$1",
 "zones": [{"origin": "partners.example", "file": "partners.zone"}],
 "partners": [
  {"domain": "gumleaf.partners.example", "dest": 50001, "class": "print-order", "kind": "print-house"},
  {"domain": "tallowood.partners.example", "dest": 50003, "class": "render-status", "kind": "community"}],
 "senders": {"tallowood.partners.example": "tallowood"},
 "classes": {"print-order": {"aim_s": 60, "deadline_s": 3600}, "render-status": {"aim_s": 30, "deadline_s": 600}},
 "message_bytes": 262144, "remember_hours": 120}
MAIL
    cat >"$tmp/partners.zone" <<ZONE
\$TTL 60
@                    IN SOA ns hostmaster ( 1 3600 600 86400 60 )
                     IN NS  ns
ns                   IN A   127.0.0.1
_smtp._tcp.gumleaf   IN SRV 0 1 $2 mail
_smtp._tcp.tallowood IN SRV 0 1 $3 mail
mail                 IN A   127.0.0.1
ZONE
}
