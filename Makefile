GO ?= go
BIN := bin
LINT_VERSION := v2.15.0
TOOLS := $(shell $(GO) env GOPATH)/bin
LINT := $(TOOLS)/golangci-lint

.PHONY: build check measure demo bench proofs fmt lint vet test model tools spin clean

build:
	$(GO) build -o $(BIN)/ ./cmd/...

# Runs every check with the same verdict each time.
check: lint vet build test model measure

$(LINT):
	GOBIN=$(TOOLS) $(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)

tools: $(LINT)

fmt: $(LINT)
	$(LINT) fmt

lint: $(LINT)
	$(LINT) fmt --diff
	$(LINT) run

vet:
	$(GO) vet ./...

test:
	scripts/test

# Compares the measurements with their targets.
measure: build
	scripts/bench

model:
	scripts/model

demo: build
	scripts/demo
	scripts/demo-platform

bench: build
	scripts/bench

proofs: build
	scripts/proofs

clean:
	rm -rf $(BIN)
