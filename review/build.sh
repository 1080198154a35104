#!/bin/sh
# Builds the stand-ins that the scripts of the review start, without a network.
set -eu
cd "$(dirname "$0")"
GOWORK=off GOPROXY=off CGO_ENABLED=0 go build -o bin/ ./cases
