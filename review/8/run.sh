#!/bin/sh
# A malformed version of the partners' zone is put in place (not with TROUBLE=0); the courier goes on. Then it is killed and started
# again: it has to start, and what it has taken on has to be answered.
exec sh "$(dirname "$0")/../run-2.sh" malformed_zone 8
