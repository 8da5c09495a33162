#!/bin/sh
# A new version of a zone file is truncated for 1.5 s while it is written (with TROUBLE=0 it is replaced as a whole). Both
# versions name the same two good endpoints, which have to stay in use.
exec sh "$(dirname "$0")/../run-2.sh" truncated_zone 9
