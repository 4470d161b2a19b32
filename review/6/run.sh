#!/bin/sh
# Makes a tenant isolated while a proxy is frozen. 1: the rule was broken; 0: it held; 2: the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
exec review/bin/probe wall --node target/kestrelnode --record review/6/record.txt
