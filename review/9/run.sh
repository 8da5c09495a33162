#!/bin/sh
# A dynamic update moves a partner's endpoint; then the operators add a zone to the mail front's file (not with TROUBLE=0) and
# restart the courier as planned. The endpoint that the update removed may get nothing new.
exec sh "$(dirname "$0")/../run-2.sh" forgotten_update 9
