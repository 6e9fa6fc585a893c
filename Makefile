GO       ?= go
TOOL      = $(GO) tool -modfile=tools/go.mod
BIN       = bin
SEED     ?= 1
RUNS     ?= 20
SCENARIO ?= all
STORM    ?= all
export CGO_ENABLED = 1

.PHONY: help
help: ## list the targets
	@grep -hE '^[a-z-]+:.*## ' $(MAKEFILE_LIST) | sed -E 's/:.*## /\t/'

.PHONY: build
build: ## build the product and the stand-ins into bin/
	$(GO) build -o $(BIN)/ ./cmd/... ./test/cmd/...

.PHONY: run
run: build ## start stand-ins, entries and sidecars, send a draft and a hold twice (ONCE=1: then stop)
	$(BIN)/quickstart -bin $(BIN) $(if $(ONCE),-once)

.PHONY: test
test: ## run every test, as CI does
	scripts/test

.PHONY: check
check: ## formatter, vet, linter, dynamic linking
	scripts/check

.PHONY: fmt
fmt: ## rewrite the code in the project's format
	$(TOOL) gofumpt -w cmd internal platform test

.PHONY: generate
generate: ## regenerate internal/wire from its proto file
	$(TOOL) buf generate --template internal/wire/buf.gen.yaml internal/wire

.PHONY: bench
bench: build ## latency and cost that entry and sidecar add to direct requests to the engine
	$(BIN)/bench -bin $(BIN)

.PHONY: soak
soak: ## seeded randomised runs of the state machines in virtual time (SEED=n RUNS=m)
	$(GO) run ./test/cmd/soak -seed $(SEED) -runs $(RUNS)

.PHONY: soak-processes
soak-processes: build ## seeded runs of real gateway processes under injected faults (SEED=n RUNS=m)
	$(BIN)/soak-processes -bin $(BIN) -seed $(SEED) -runs $(RUNS)

.PHONY: soak-stops
soak-stops: build ## seeded runs of stops, reloads and changes with long requests (SEED=n RUNS=m)
	$(BIN)/soak-processes -bin $(BIN) -stops -seed $(SEED) -runs $(RUNS) -jobs 2

.PHONY: storms
storms: build ## retry storms of real gateway processes (STORM=text in the name, SEED=n)
	$(BIN)/soak-processes -bin $(BIN) -storms "$(STORM)" -seed $(SEED) -runs 1

.PHONY: experiment
experiment: ## goodput and role changes per scenario and policy (SCENARIO=all SEED=n)
	$(GO) run ./test/cmd/experiment -scenario $(SCENARIO) -seed $(SEED)

.PHONY: capacity
capacity: build ## measure the slopes of docs/CAPACITY.md
	$(BIN)/capacity -bin $(BIN)

.PHONY: recovery
recovery: build ## measure the time to recover from each kind of fault
	$(BIN)/recovery -bin $(BIN)
