#!/bin/sh
# Print orders are delivered and kept in the history; the courier is restarted as planned, with settings that list a new class
# before the others (not with TROUBLE=0); then the operators have the channel's messages sent again by rule.
exec sh "$(dirname "$0")/../run-2.sh" replayed_order 8
