#!/bin/sh
# Builds what the scripts of cases 6 to 10 start besides the project's own programs: one program of stand-ins, from the
# standard library alone. Run it after the build of the deploy file; it needs no network.
set -eu
cd "$(dirname "$0")/standin-2"
mkdir -p bin
CGO_ENABLED=0 GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -buildvcs=false -o bin/case .
