#!/usr/bin/env bash
# A client loses the reply to a print order and hands it in again 55 s later; meanwhile the courier delivers other orders,
# at most 110 a second. The order has been printed, so it must be recognised.
# TROUBLE=0: the client hears the reply, and does not hand the order in again.
. "$(dirname "$0")/../case.sh"

smtp=$("$standin" free-port) print=$("$standin" free-port) home=$("$standin" free-port)
sender=orders@tallowood.partners.example press=press@gumleaf.partners.example
start_mail_server print-house "$print"
start_mail_server home "$home"
write_mail "$smtp" "$print" "$home"
write_config "$print_order, $render_status"
start_courier

# hand_in ID [lose-reply]
hand_in() {
    "$standin" hand-in "$record" "$started" "127.0.0.1:$smtp" $sender $press "<$1@tallowood.example>" "${@:2}" ||
        cannot_run "$1 could not be handed in"
}
lose=lose-reply
[ "$TROUBLE" != 0 ] || lose=
hand_in order-1 $lose
until_line 10 'print-house: ran for .*order-1@' || cannot_run "the order did not reach the print house"
# The same again at once shows that this courier recognises it.
[ "$TROUBLE" = 0 ] || hand_in order-1

"$standin" load "$record" "$started" "127.0.0.1:$smtp" $sender 6000 110 $press=100 || cannot_run "the load failed"
sleep 2
[ "$TROUBLE" = 0 ] || hand_in order-1
sleep 5

delivered=$(grep -c 'print-house: ran for .*load-' "$record")
ran=$(grep -c 'print-house: ran for .*order-1@' "$record")
note "of the other orders $delivered have run; order-1 has run $ran times at the print house"
note "ids in the courier's list of ended messages: $(wc -l <"$tmp/state/ids.log")"
[ "$ran" -le 1 ] || { note "RULE BROKEN: a printed order was handed in again and printed once more"; exit 1; }
note "the rule held"
exit 0
