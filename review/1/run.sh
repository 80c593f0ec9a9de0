#!/usr/bin/env bash
# Plays the case "stop" of review/bed. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bed ] || exit 2
exec target/bed -case stop -program target/lacewinghook -dir review/1
