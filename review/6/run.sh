#!/bin/sh
# Sixteen messages for one partner that takes several in a call; the answer to one such call is spoilt (not with TROUBLE=0).
exec sh "$(dirname "$0")/../run-2.sh" spoilt_batch 6
