#!/bin/sh
# An endpoint's address goes from one partner to another; the courier is told, and is killed soon after while discovery is down
# (with TROUBLE=0 nothing is killed or down). The next process may not send the first partner's messages to that address.
exec sh "$(dirname "$0")/../run-2.sh" stale_list 7
