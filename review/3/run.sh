#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ "${TROUBLE:-1}" = 0 ]; then trouble=false; else trouble=true; fi
exec review/bin/drive -case gone -record review/3/record.txt -trouble=$trouble
