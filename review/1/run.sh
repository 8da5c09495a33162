#!/usr/bin/env bash
# A partner's two endpoints stand in two zones, one of which the settings do not name; the partner drops repeats within a
# zone only. The endpoint in the named zone hangs for 15 s: it runs what it is sent and answers nothing. Print orders go
# there and to another partner, 6 in 25 to the first. An order that may have run must not be sent into the other zone.
# TROUBLE=0: the endpoint does not hang.
. "$(dirname "$0")/../case.sh"

listen=$("$standin" free-port) discovery=$("$standin" free-port)
a=$("$standin" free-port) b=$("$standin" free-port) c=$("$standin" free-port)
hang=
[ "$TROUBLE" = 0 ] || hang=hang=3-18
"$standin" endpoint named-zone "$record" "$started" "127.0.0.1:$a" $hang & pids+=($!)
"$standin" endpoint other-zone "$record" "$started" "127.0.0.1:$b" & pids+=($!)
"$standin" endpoint other-partner "$record" "$started" "127.0.0.1:$c" & pids+=($!)

# entry ID PORT ZONE DESTINATION
entry() {
    printf '{"instanceId":"%s","hostPort":"127.0.0.1:%s","zone":"%s","machineType":"community","cell":%s,' "$1" "$2" "$3" "$4"
    printf '"lifecycle":"up","weight":20.0,"startedAtMs":0}'
}
named=gympie-road-dc other=second-dc
printf '{"generation":1,"reset":true,"instances":[%s,%s,%s]}\n' "$(entry s-1 "$a" $named 7)" "$(entry s-2 "$b" $other 7)" \
    "$(entry s-3 "$c" $named 8)" >"$tmp/list.json"
"$standin" discovery "$record" "$started" "127.0.0.1:$discovery" "$tmp/list.json" & pids+=($!)

write_config "${print_order/\"group\": \"all\"/\"group\": \"zone\"}, $render_status"
sed -i "s/^{\"name\"/{\"listen\": \"127.0.0.1:$listen\", \"discovery\": \"127.0.0.1:$discovery\", \"name\"/" "$tmp/config.json"
start_courier
sleep 1.5

# Sixteen rounds of 25 orders, a clump of six for the first partner in each.
for round in $(seq 1 16); do
    for n in $(seq 1 25); do
        destination=8
        [ "$n" -gt 6 ] || destination=7
        "$standin" post "$record" "$started" "127.0.0.1:$listen" "order-$round-$n" $destination 20000 ||
            cannot_run "no connection"
    done
    sleep 0.6
done
sleep 25

in_zone() { sed -n "s/.* $1: ran \(.*\)$/\1/p" "$record" | sort -u; }
in_zone named-zone >"$tmp/named"
in_zone other-zone >"$tmp/other"
both=$(comm -12 "$tmp/named" "$tmp/other" | tr '\n' ' ')
note "orders that ran in both zones: ${both:-none}"
[ -z "$both" ] || { note "RULE BROKEN: orders that may have run were sent into a zone that does not drop their repeats"; exit 1; }
note "the rule held"
exit 0
