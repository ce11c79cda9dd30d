GOFUMPT   := go run mvdan.cc/gofumpt@v0.12.0
LINT      := go run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
BUF       := go run github.com/bufbuild/buf/cmd/buf@v1.75.0
# Go 1.26 lets the timers of one synctest bubble run on several threads with one race context, which crashes the race
# detector (docs/incidents/race-detector-in-bubbles.md). On one processor only one thread runs them.
BUBBLES   := $(shell git grep -l --untracked '"testing/synctest"' -- '*_test.go' | xargs -n1 dirname | sort -u | sed 's,^,./,')
HANDMADE  := $(shell git ls-files -co --exclude-standard '*.go' | grep -v '\.pb\.go$$')

.PHONY: build test format check-format lint generate check-generated fuzz-seeds demo bench capacity experiment failures soak

## build: compiles the programs into bin/
build:
	go build -o bin/ ./cmd/...

## test: runs every test with the race detector, except those listed in KNOWN-RED.txt, which it prints;
## packages with virtual time run on one processor under the race detector and once more without it on all
test:
	@grep -v '^#' KNOWN-RED.txt | sed 's/^/known red, not run: /' || true
	@skip=$$(.ci/known-red); set -e; \
	others=$$(go list ./... | grep -vxF "$$(go list $(BUBBLES))"); \
	go test -race -timeout 600s $${skip:+-skip "$$skip"} $$others; \
	go test -race -cpu 1 -timeout 600s $${skip:+-skip "$$skip"} $(BUBBLES); \
	go test -timeout 600s $${skip:+-skip "$$skip"} $(BUBBLES)

## format: formats all hand-written Go files
format:
	$(GOFUMPT) -w $(HANDMADE)

## check-format: fails if a hand-written Go file is not formatted
check-format:
	@out=$$($(GOFUMPT) -l $(HANDMADE)); if [ -n "$$out" ]; then echo "not formatted:"; echo "$$out"; exit 1; fi

## lint: runs the linter
lint:
	$(LINT) run ./...

## generate: regenerates the code from the schema files
generate:
	cd api && $(BUF) lint && $(BUF) generate

## check-generated: fails if the committed generated code is out of date
check-generated: generate
	git diff --exit-code -- api

## fuzz-seeds: runs every fuzz target on its seed corpus
fuzz-seeds:
	go test -run '^Fuzz' ./...

## demo: starts a small region on loopback and shows what it does
demo: build
	scripts/demo.sh

## bench: measures the request path against direct calls, an idle agent, and the store calls
bench: build
	scripts/bench.sh

## capacity: measures entries, agents and the store at several sizes and fits the slopes
capacity: build
	scripts/capacity.sh

## experiment: compares the decisions with plain ones in virtual time (see docs/policy.md)
experiment: build
	bin/clementine-standin experiment

## soak: plays fresh seeds of the fault soak with real processes; SEEDS and FIRST_SEED set which
soak:
	go test -count=1 -timeout 3h -v -run TestSoak ./platform -args -soak-seeds $${SEEDS:-20} -soak-first-seed $${FIRST_SEED:-$$(date +%s)}

## failures: measures what callers see during one failure at a time
failures: build
	scripts/failures.sh
