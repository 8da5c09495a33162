#!/usr/bin/env bash
# A large print house is shut for 18 s, while it draws 40 in 100 of the orders. Orders are handed in for these 18 s, 60 a
# second, each to be returned if it is not delivered within 10 s. Whatever the courier has taken on with 250 it owes a
# delivery or a bounce.
# TROUBLE=0: the print house is open.
. "$(dirname "$0")/../case.sh"

smtp=$("$standin" free-port) print=$("$standin" free-port) home=$("$standin" free-port)
sender=orders@tallowood.partners.example
shut=
[ "$TROUBLE" = 0 ] || shut=shut=0-18
start_mail_server print-house "$print" pace=0.08 $shut
start_mail_server home "$home" pace=0.13
write_mail "$smtp" "$print" "$home"
# Four more partners, which stay open.
to=(press@gumleaf.partners.example=40)
more=
for n in 1 2 3 4; do
    port=$("$standin" free-port)
    start_mail_server "open-$n" "$port" pace=0.13
    more+=" {\"domain\": \"open$n.partners.example\", \"dest\": 5001$n, \"class\": \"print-order\", \"kind\": \"community\"},"
    echo "_smtp._tcp.open$n IN SRV 0 1 $port mail" >>"$tmp/partners.zone"
    to+=("press@open$n.partners.example=15")
done
sed -i "s/\"partners\": \[/&$more/" "$tmp/mail.json"
write_config "$print_order, $render_status"
start_courier

"$standin" load "$record" "$started" "127.0.0.1:$smtp" $sender 1080 60 "${to[@]}" by=10 || cannot_run "the load failed"
note "nothing more is handed in"
# The last order's time is up 10 s later, and its bounce is due then; the print house is open. Half a minute more is far more
# than that needs.
sleep 40

"$standin" hand-in "$record" "$started" "127.0.0.1:$smtp" $sender press@open1.partners.example '<last@tallowood.example>'
sleep 2
sed -n 's/.* load: taken \(<.*>\)$/\1/p' "$record" | sort >"$tmp/taken"
{
    sed -n 's/.* \(print-house\|open-.\): ran for .*: \(<load-[0-9]*@[^>]*>\)$/\2/p' "$record"
    sed -n 's/.* home: ran for .*, about \(<.*>\)$/\1/p' "$record"
} | sort -u >"$tmp/answered"
lost=$(comm -23 "$tmp/taken" "$tmp/answered" | wc -l)
note "$(wc -l <"$tmp/taken") orders taken with 250; $lost of them neither delivered nor bounced"
[ "$lost" = 0 ] || { note "RULE BROKEN: orders were taken on and never answered"; exit 1; }
note "the rule held"
exit 0
