.PHONY: build test lint run

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

test: lint
	go test -race -timeout 5m ./...

lint:
	go vet ./...
	@test -z "$$(gofmt -l .)" || { gofmt -l .; echo "gofmt: the files above are not formatted"; exit 1; }

# NODE_CONFIG names the gateway's configuration, see README.md.
run: build
	exec bin/aspenshed
