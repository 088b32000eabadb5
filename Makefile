# The proofs on a virtual clock.
VIRTUAL = ReplicaLimit|MemoryLimit|FrozenHolder|UnreachedServer|RemovedServer|TwoReleases|WeightStoreShare|PaidLoadsFirst|Overload|LoweredLimit|WaitingRequests|Configuration|LogOutage|LogCutForHolder

# Fresh seeds of the soak.
SEEDS = 10

.PHONY: build demo test lint bench prove soak generate clean

build:
	go build -o bin/ ./cmd/...

# KEEP=1 stays up until Ctrl-C; KILL=2 kills daemon-2 after the requests.
demo: build
	_scripts/demo.sh

# The second step runs what the race detector can't, see chaos_test.go, and silence_test.go
# for arm64. The third runs the tests of KNOWN-RED.txt, which the first leaves out, and prints
# their results. The fourth checks the specification where spin is installed, as CI does.
test: lint build
	go test -race -skip '$(shell _scripts/known-red.sh skip)' ./...
	go test -run 'TestProve($(VIRTUAL))' ./internal/proof/points
	go test -run 'TestChangeReadLateAfterSilenceOfTheLog' ./internal/oplog/compacted
	_scripts/known-red.sh run
	_scripts/specification.sh

lint:
	_scripts/lint.sh

bench: build
	_scripts/bench.sh

prove: build
	_scripts/prove.sh

soak:
	mkdir -p soak-logs
	go test -timeout 60m -run TestFreshSeeds ./internal/proof/soak -args -soak.seeds $(SEEDS) -soak.logs $(CURDIR)/soak-logs

generate:
	_scripts/generate.sh

clean:
	rm -rf bin
