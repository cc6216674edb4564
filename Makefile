PROGRAMS := ./entry/cmd/catkinrail-entry ./control/cmd/catkinrail-control ./ctl/cmd/catkinctl ./emulator/cmd/catkinrail-emulator
MODULES  := . control ctl emulator entry
LINT     := github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
GOPLS    := golang.org/x/tools/gopls@v0.23.0
PACKAGES := $(MODULES:%=./%/...)

.PHONY: build
build: ## Build the programs into bin.
	@mkdir -p bin
	go build -o bin/ $(PROGRAMS)

.PHONY: demo
demo: build ## Run the services of both example sites on loopback, with changes and failures.
	./scripts/demo.sh
	./scripts/demo-platform.sh

.PHONY: test
test: ## Run the tests, except those in KNOWN-RED.txt, with the race detector.
	./scripts/test.sh

.PHONY: lint
lint: ## Check formatting and run the linter over every module.
	go vet $(PACKAGES)
	GOWORK=off go run $(LINT) version >/dev/null
	@set -e; for m in $(MODULES); do echo "lint $$m"; (cd $$m && GOFLAGS=-buildvcs=false go run $(LINT) run ./...); done

.PHONY: man
man: build ## Write the manual pages to docs/man.
	./scripts/man.sh

.PHONY: format
format: ## Format every module.
	@set -e; for m in $(MODULES); do (cd $$m && go run $(LINT) fmt ./...); done

.PHONY: generate
generate: ## Generate code from the schema files.
	GOWORK=off go tool -modfile=tools/go.mod buf generate

.PHONY: gopls
gopls: ## Build gopls, for renaming identifiers, into bin.
	GOBIN=$(CURDIR)/bin go install $(GOPLS)

.PHONY: fuzz
fuzz: ## Fuzz the packet path and every decoder, each for FUZZTIME (20 s by default).
	./scripts/fuzz.sh

.PHONY: bench
bench: build ## Measure packet forwarding and routing decisions.
	./bin/catkinrail-emulator bench

.PHONY: measure
measure: build ## Measure routing policies in simulated scenarios; plots go to out/measure.
	./bin/catkinrail-emulator measure --out out/measure

.PHONY: measure-control
measure-control: build ## Measure the time until changes are in force, and the cost of control instances.
	./scripts/measure-control.sh

.PHONY: prove
prove: build ## Run the fault matrix, including faults on real processes.
	./scripts/prove.sh

SEED ?= 1
.PHONY: soak
soak: build ## Run the programs under random faults for 20 s; SEED=n sets the seed.
	./scripts/soak.sh $(SEED)

.PHONY: capacity
capacity: build ## Calculate the capacity table from the measured slopes.
	./bin/catkinrail-emulator capacity

.PHONY: help
help: ## List the targets.
	@awk -F ':.*## ' '/^[a-z-]+:.*## / {printf "%-16s %s\n", $$1, $$2}' Makefile
