#!/bin/sh
# Builds the stand-ins that the scripts start. The nodes are built by the deploy file.
cd "$(dirname "$0")/.." || exit 2
mkdir -p review/bin && exec go build -o review/bin/ ./review/drive
