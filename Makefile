GO ?= go
PACKAGES = ./rudder/... ./platform/... ./standin/...
# The tests that KNOWN-RED.txt lists with "CI passes over it"; .ci/run prints the file.
KNOWN_RED = $(shell sed -n 's/^\(Test[A-Za-z0-9_]*\) .*CI passes over it.*/\1/p' KNOWN-RED.txt | paste -sd '|' -)

.PHONY: build test demo soak fault-soak bench lint format generate

build:
	mkdir -p bin
	$(GO) build -o bin/ ./rudder/cmd/rudderd ./rudder/cmd/rudderctl ./standin/cmd/... ./platform/cmd/...

lint:
	@files=$$(gofmt -l $$(git ls-files '*.go')); if [ -n "$$files" ]; then echo "not gofmt clean: $$files"; exit 1; fi
	$(GO) vet $(PACKAGES)
	$(GO) tool staticcheck $(PACKAGES)

test: lint build
	$(GO) test -race -count=1 -timeout 20m $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$') $(PACKAGES)

demo: build
	./bin/demo

soak: build
	./bin/soak $(SOAK_ARGS)

fault-soak: build
	./bin/faultsoak $(FAULT_SOAK_ARGS)

bench: build
	./bin/bench $(BENCH_ARGS)

# Needs buf, protoc-gen-go and protoc-gen-connect-go; the generated code is committed.
generate:
	cd rudder/proto && buf generate
