# CI uses these targets only.
GO ?= go
BIN := bin
LINT := $(BIN)/golangci-lint
VERSION ?= $(shell git describe --tags --always 2>/dev/null || echo dev)
LDFLAGS := -X github.com/runworks/runworks/daemon.Version=$(VERSION)

.PHONY: build fmt lint test race long bench dev

build:
	$(GO) build -ldflags '$(LDFLAGS)' -o $(BIN)/ ./cmd/...

$(LINT): tools/go.mod tools/go.sum
	cd tools && $(GO) build -o ../$(LINT) github.com/golangci/golangci-lint/v2/cmd/golangci-lint

fmt: $(LINT)
	$(LINT) fmt

lint: $(LINT)
	$(LINT) fmt --diff
	$(LINT) run

test:
	$(GO) test ./...

# Turns names of tests and sub-tests, one a line, into a pattern for -run and -skip, which are split at slashes and
# bars outside of brackets only.
TEST_PATTERN := sed '/^$$/d; s/[]*+?^$$(){}|\\.[]/\\&/g; s|/|$$/^|g; s/.*/^&$$/' | paste -sd '|'

# The tests and sub-tests named in KNOWN-RED.txt, a line each, fail for faults that are not fixed
# yet; race passes over just these. TEST_TIMEOUT ends a package that hangs.
TEST_TIMEOUT ?= 20m
KNOWN_RED := $(shell test -s KNOWN-RED.txt && sed 's/:.*//' KNOWN-RED.txt | $(TEST_PATTERN))

# On arm64 the race detector itself can crash in these tests of platform/ (__tsan::SlotLock without a thread,
# called for the timer of a select in a synctest bubble). They run without it there, and with it elsewhere.
RACE_CRASHES := $(if $(filter arm64,$(shell $(GO) env GOARCH)),^TestChangeAfterConnectionsWentSilent$$|^TestChangeAfterStoreConnectionsWentSilent$$)
bar := $(if $(KNOWN_RED),$(if $(RACE_CRASHES),|))
NOT_RACED := $(KNOWN_RED)$(bar)$(RACE_CRASHES)

race:
	$(GO) test -race -timeout $(TEST_TIMEOUT) $(if $(NOT_RACED),-skip '$(NOT_RACED)') ./...
	$(if $(RACE_CRASHES),$(GO) test -timeout $(TEST_TIMEOUT) -run '$(RACE_CRASHES)' $(if $(KNOWN_RED),-skip '$(KNOWN_RED)') ./platform/)

# More seeds of the random failure schedules: make long SEEDS=5000
SEEDS ?= 2000
long:
	$(GO) test -race ./tests/... -run Schedules -seeds $(SEEDS) -timeout 60m

# More seeds of the fault soak over separate processes: make soak SOAK_SEEDS=50 SOAK_FIRST=1000
.PHONY: soak
SOAK_SEEDS ?= 50
SOAK_FIRST ?= 1
SOAK_TIME ?= 10s
soak:
	$(GO) test ./tests/ -run 'TestSoak$$' -v -timeout 60m -parallel 6 -args -soak-seeds $(SOAK_SEEDS) -soak-first $(SOAK_FIRST) -soak-time $(SOAK_TIME)

# Pairs of events, each at a point of a stream, drawn from a seed: make moments MOMENT_SEED=7 MOMENT_PAIRS=300
# ARGS='-moment-pattern breaks.*rest'. The end of its log says what was played, what was not, and what failed; a failed play is
# repeated by its seed and number: make moments MOMENT_SEED=7 ARGS='-moment-number 12'
.PHONY: moments
MOMENT_SEED ?= 1
MOMENT_PAIRS ?= 100
MOMENT_PARALLEL ?= 2
moments:
	$(GO) test ./tests/ -run 'TestMoments$$' -v -timeout 120m -args -moment-seed $(MOMENT_SEED) -moment-pairs $(MOMENT_PAIRS) -moment-parallel $(MOMENT_PARALLEL) $(ARGS)

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./...

dev:
	$(GO) run ./cmd/runworks dev

# Rewrites the recorded responses of the scripted tests; read the difference.
.PHONY: rewrite
rewrite:
	$(GO) test ./tests/ -run 'WrongInput' -args -rewrite

# Removes each mechanism, one at a time, and checks that the test that proves it fails.
.PHONY: mutants
mutants:
	$(GO) test ./tests/ -run TestMutants -v -timeout 60m -args -mutants

# Prints the table of docs/design/routing.md: the same figures each time.
.PHONY: landings
landings:
	$(GO) test ./tests/ -run TestLandings -v -timeout 180m -args -landings $(ARGS)

.PHONY: measure
measure:
	$(GO) test ./tests/ -run TestMeasure -v -timeout 60m -args -measure

# Plays versions on the users' bench and compares them:
# make pairs ARGS='play --bench PATH --name NAME ...', make pairs ARGS='table --name NAME'
.PHONY: pairs
pairs:
	$(GO) run ./bench/pairs $(ARGS)
