.PHONY: build test lint run capacity scale

# The same as in deploy/balancer.toml: linked dynamically against the C library, as the platform loads one of its own.
build:
	mkdir -p bin && CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...

test: lint
	go run ./internal/experiment/knownred -race -timeout 5m ./...

lint:
	go vet ./...
	go tool -modfile=tools/go.mod staticcheck ./...
	@test -z "$$(gofmt -l .)" || { gofmt -l .; echo "gofmt: the files above are not formatted"; exit 1; }

# Without any configuration: three instances, two small groups of stand-in databases, all on loopback.
run: build
	exec bin/aspenshed serve

# The page docs/CAPACITY.md and its plots, made of the committed runs in docs/capacity.
capacity:
	go run ./internal/experiment/capacity/cmd/capacity

# The whole scale run: about ten minutes on 8 cores, up to 2,400 hollow gateways and 21,000 members.
scale: build
	bin/aspenshed experiment scale --full --out docs/capacity/scale-COMMIT.json
