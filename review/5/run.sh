#!/bin/sh
# Kills the core and a proxy at one moment; a broker deregisters at the proxy. 1: the rule was broken; 0: it held; 2: the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
exec review/bin/probe alone --node target/kestrelnode --record review/5/record.txt
