#!/bin/sh
# Builds the stand-ins that the scripts of the review start, without a network.
set -eu
cd "$(dirname "$0")"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o bin/ ./cases
