.PHONY: build demo test lint bench prove generate clean

build:
	go build -o bin ./cmd/...

# KEEP=1 stays up until Ctrl-C; KILL=2 kills daemon-2 after the requests.
demo: build
	_scripts/demo.sh

# The second step runs what the race detector can't, see chaos_test.go.
test: lint
	go test -race ./...
	go test -run 'TestProve(ReplicaLimit|MemoryLimit)' ./internal/proof/points

lint:
	_scripts/lint.sh

bench: build
	_scripts/bench.sh

prove: build
	_scripts/prove.sh

generate:
	_scripts/generate.sh

clean:
	rm -rf bin
