#!/usr/bin/env bash
# A planned restart with a new configuration, which has one class more at the end of `profiles`, while a print house's
# mail server is slow to answer an order. The order may have taken effect, so it must not be sent again.
# TROUBLE=0: the same restart, and the configuration stays as it was.
. "$(dirname "$0")/../case.sh"

smtp=$("$standin" free-port) print=$("$standin" free-port) home=$("$standin" free-port)
sender=orders@tallowood.partners.example
start_mail_server print-house "$print" slow-first=15
start_mail_server home "$home"
write_mail "$smtp" "$print" "$home"
write_config "$print_order, $render_status"
start_courier

"$standin" hand-in "$record" "$started" "127.0.0.1:$smtp" $sender press@gumleaf.partners.example \
    '<order-1@tallowood.example>' || cannot_run "the order could not be handed in"
until_line 10 'order-1.*: 250' || cannot_run "the order was not taken"
until_line 10 'print-house: ran for .*order-1' || cannot_run "the order did not reach the print house"

stop_courier
if [ "$TROUBLE" != 0 ]; then
    note "a new configuration: the class proof-status, safe to repeat, is added behind the others"
    proof_status='{"name": "proof-status", "aim": 3000000, "deadline": 20000000, "group": "all",
      "idempotency": "pure", "lateWorth": 0.1, "repeatWindow": 5000000, "worth": 1.0}'
    write_config "$print_order, $render_status, $proof_status"
fi
start_courier
sleep 25

ran=$(grep -c 'print-house: ran for press@.*order-1' "$record")
note "the order has run $ran times at the print house"
[ "$ran" -le 1 ] || { note "RULE BROKEN: an order that may have taken effect was sent again"; exit 1; }
note "the rule held"
exit 0
