#!/bin/sh
# Builds the protobuf tools of tools/generate into bin/ and writes the generated
# code anew from buf.gen.yaml. The output is committed.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
bin="$PWD/bin"
(
	cd tools/generate
	go build -o "$bin/" \
		github.com/bufbuild/buf/cmd/buf \
		google.golang.org/protobuf/cmd/protoc-gen-go \
		storj.io/drpc/cmd/protoc-gen-go-drpc
)
PATH="$bin:$PATH" "$bin/buf" lint
PATH="$bin:$PATH" "$bin/buf" generate
