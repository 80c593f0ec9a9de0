#!/usr/bin/env bash
# Plays the case "poison" of review/bed. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bed ] || exit 2
exec target/bed -case poison -program target/lacewinghook -dir review/5
