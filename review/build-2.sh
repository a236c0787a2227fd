#!/usr/bin/env bash
# Builds what the scripts of the second review start: the program by the command of the deploy file, and the probe, which holds the
# stand-ins (routers, engines, catalog, bad clients and the platform).
set -euo pipefail
cd "$(dirname "$0")/.."
sh -c "$(sed -n 's/^build = "\(.*\)".*/\1/p' deploy/balancer.toml)"
mkdir -p bin/review
CGO_ENABLED=0 go build -o bin/review/probe ./review/probe
