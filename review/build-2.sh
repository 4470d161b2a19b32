#!/bin/sh
# Builds the stand-ins of the second review's cases. The nodes are built by the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
CGO_ENABLED=1 go build -ldflags=-linkmode=external -o review/bin/probe ./review/probe
