#!/usr/bin/env bash
# A print house is shut for 18 s. A client hands in an order that is to be returned after 5 s; it comes back with a bounce
# which says that it may be sent again, and the client hands the same message in again. Each time the courier takes it on
# with 250, so each time it owes a delivery or a bounce.
# TROUBLE=0: the print house is open.
. "$(dirname "$0")/../case.sh"

smtp=$("$standin" free-port) print=$("$standin" free-port) home=$("$standin" free-port)
sender=orders@tallowood.partners.example press=press@gumleaf.partners.example
behaviour=
[ "$TROUBLE" = 0 ] || behaviour=shut=0-18
start_mail_server print-house "$print" $behaviour
start_mail_server home "$home"
write_mail "$smtp" "$print" "$home"
write_config "$print_order, $render_status"
start_courier

hand_in() {
    "$standin" hand-in "$record" "$started" "127.0.0.1:$smtp" $sender $press '<order-1@tallowood.example>' by=5 ||
        cannot_run "the order could not be handed in"
}
hand_in
until_line 9 'ran for .*order-1@' || cannot_run "the first hand-in has no answer"
hand_in
# Its time is up 5 s later, and its bounce is due then; half a minute more is far more than that needs.
sleep 35

taken=$(grep -c 'client: handed in .*order-1@.*: 250' "$record")
printed=$(grep -c 'print-house: ran for .*order-1@' "$record")
bounced=$(grep -c 'home: ran for .*order-1@' "$record")
note "taken $taken times with 250, printed $printed times, bounced $bounced times"
[ "$taken" = 2 ] || cannot_run "the order was not taken on twice"
# Once printed, the order is done, and a repeat of it is answered by that.
if [ "$printed" = 0 ] && [ "$bounced" -lt 2 ]; then
    note "RULE BROKEN: an order was taken on and neither delivered nor bounced"
    exit 1
fi
note "the rule held"
exit 0
