#!/bin/sh
# Builds the stand-ins that the cases start.
set -eu
cd "$(dirname "$0")/.."
go build -o review/bin/standin ./review/standin
