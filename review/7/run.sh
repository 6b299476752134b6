#!/bin/sh
# A neighbour that stands still. See claim.txt.
exec "$(dirname "$0")/../run-2.sh" frozen 7
