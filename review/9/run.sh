#!/bin/sh
# A print order by mail is refused by its partner; the connection on which its bounce goes to the sender's server ends once before
# the reply (not with TROUBLE=0). The order's end has to reach the sender all the same.
exec sh "$(dirname "$0")/../run-2.sh" lost_bounce 9
