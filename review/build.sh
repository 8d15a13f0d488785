#!/bin/sh
# Builds review/bin/review: the stand-in databases and clients of all cases, and the programs that run the cases.
# It uses the standard library alone and needs no network.
set -e
cd "$(dirname "$0")/standin"
mkdir -p ../bin
CGO_ENABLED=0 GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -o ../bin/review .
