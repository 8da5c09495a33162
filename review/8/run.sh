#!/bin/sh
# An endpoint is replaced; the courier is told that the old one drains, and is killed soon after while discovery is down (with
# TROUBLE=0 nothing is killed or down). The next process may send the old endpoint nothing new.
exec sh "$(dirname "$0")/../run-2.sh" forgotten_drain 8
