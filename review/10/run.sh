#!/usr/bin/env bash
# Plays the case "open-cancel". Needs target/clementined (the build of the deploy file) and target/standins-2 (review/build-2.sh).
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/clementined ] || [ ! -x target/standins-2 ]; then
	echo "build the programs and the stand-ins first"
	exit 2
fi
exec target/standins-2 open-cancel review/10
