# build, test, lint and run the project; `make test` is what CI runs.
SHELL := /bin/bash
STATICCHECK := honnef.co/go/tools/cmd/staticcheck@v0.8.2

# Tests keep their folders in memory where the system has such a place: hundreds of syncs on a slow disk take minutes.
# t.TempDir goes by GOTMPDIR first (since Go 1.26) and then by TMPDIR. What go itself builds stays on disk.
MEMDIR := $(shell test -w /dev/shm && echo /dev/shm || echo /tmp)
GOTEST := go test -exec "env GOTMPDIR= TMPDIR=$(MEMDIR)"

.PHONY: build trial test lint run regression fuzz year replace leases audit auditcost overload overload-long overload-days overload-scale overloadcost takeover crowd fleetsim fleetscale mutants figures

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

# Format, vet and staticcheck, race tests in both builds, then the build as the deploy file has it.
test:
	@unformatted=$$(gofmt -l .); if [ -n "$$unformatted" ]; then echo "not gofmt'd: $$unformatted"; exit 1; fi
	@if grep -n letsencrypt/ go.sum; then echo "go.sum: a test of a library wants another project's server, which is not brought in; add modules with go get, not go mod tidy"; exit 1; fi
	@direct=$$(go list -f '{{range .Imports}}{{.}}{{"\n"}}{{end}}{{range .TestImports}}{{.}}{{"\n"}}{{end}}{{range .XTestImports}}{{.}}{{"\n"}}{{end}}' ./... | sort -u); \
	for m in $$(sed -n 's|^\t\(.*\) v.* // indirect$$|\1|p' go.mod); do \
		if echo "$$direct" | grep -q "^$$m\(/\|$$\)"; then echo "go.mod: $$m is imported directly and marked indirect"; exit 1; fi; done
	$(MAKE) lint
	go vet -tags debug ./...
	$(GOTEST) -race -count=1 ./...
	$(GOTEST) -race -count=1 -tags debug ./...
	sh -c "$$(sed -n 's/^build = "\(.*\)".*/\1/p' deploy/balancer.toml)"

lint:
	go vet ./...
	go run $(STATICCHECK) ./...

# The regression on the benches, each of the given sites in turn (docs/sites.md), or SITES="FILE ..."; needs the kit beside the repository, so not in CI.
# WHY="one plain sentence" says what changed.
SITES ?= $(wildcard ../given/kit/sites/*.toml ../given/kit/users/*.toml)
WHY ?= regression on both sites
regression:
	for site in $(SITES); do nice ../given/kit/bin/lbsim score $$site --quick --why "$(WHY)" || exit 1; done
	for site in $(SITES); do nice ../given/kit/real/bin/lbreal score $$site --quick --why "$(WHY)" || exit 1; done
	for site in $(SITES); do nice ../given/kit/more/mass/bin/lbreal score $$site --quick --why "$(WHY)" || exit 1; done

# One replica on loopback; `go run ./examples/fakes` in another terminal plays what it talks to.
run: build
	RELAY_CONFIG=examples/config.json exec bin/cairnlane

fuzz:
	go test -run '^$$' -fuzz FuzzFeed -fuzztime 20s ./internal/front
	go test -run '^$$' -fuzz FuzzMessage -fuzztime 20s ./internal/thrift
	go test -run '^$$' -fuzz FuzzDecode -fuzztime 20s ./internal/state/keystore
	go test -run '^$$' -fuzz FuzzFeed -fuzztime 20s ./internal/operator
	go test -run '^$$' -fuzz FuzzMessage -fuzztime 20s ./internal/handover
	go test -run '^$$' -fuzz FuzzParse -fuzztime 20s ./internal/config
	go test -run '^$$' -fuzz FuzzChain -fuzztime 20s ./internal/certs

# A simulated year of certificates with outages, kills, drains and full disks; under 3 minutes. SEED=n draws another one.
SEED ?= 1
year: build
	bin/cairnctl trial certificates --seed $(SEED) --out logs/year

# Replacements of real processes under load, one in three with a kill; half a minute. SEED=n draws others.
replace: build
	bin/cairnctl trial replace --seed $(SEED)

# The program with the switches that trials need: clocks that run fast or slow, disks that are full, boxes that act.
trial: build
	mkdir -p bin/trial && go build -tags trial -o bin/trial/ ./cmd/cairnlane ./cmd/cairnsite

# Seven real processes act under leases with some 80 faults in and between them; under 4 minutes. SEED=n draws others.
leases: trial
	bin/cairnctl trial leases --seed $(SEED)

# Nine real processes of two builds, eleven roll-outs with faults in and between them, and what the audits answer against what was seen;
# under 4 minutes.
audit: trial
	mkdir -p bin/trial/later && go build -tags trial -ldflags "-X cairnlane/internal/appliance.number=3" -o bin/trial/later/ ./cmd/cairnlane ./cmd/cairnsite
	bin/cairnctl trial audit --seed $(SEED)

# Three fleets of eight real processes side by side, at 90, 110 and 150% load with faults: as one, each alone, and as one whose boxes hear
# nothing of each other; 4 minutes. overload-long has ten seeds, 19 minutes.
overload: build
	bin/cairnctl trial overload --seed $(SEED)

overload-long: build
	bin/cairnctl trial overload --seed $(SEED) --seeds 10

# The same decisions in virtual time: ten boxes with every hard case, ten seeds each, a minute; overload-scale has 100 and 1,000 boxes, 3 minutes.
overload-days: build
	bin/cairnctl trial days --seed $(SEED) --boxes 10

overload-scale: build
	bin/cairnctl trial days --seed $(SEED) --boxes 100 --seeds 2 --span 30s --steady
	bin/cairnctl trial days --seed $(SEED) --boxes 1000 --seeds 1 --span 14s --steady

# What a request costs with a fleet's advice and with the recorder, against without, in turn in one run; a minute.
overloadcost: build
	bin/cairnctl trial overload-cost

# What the audit costs, and how fast a million entries answer; a minute and a half.
auditcost: build
	bin/cairnctl trial audit-cost

# Kill 200 holders, one after the other, and measure how soon another box acts; ten minutes.
takeover: trial
	bin/cairnctl trial takeover --seed $(SEED)

# A fleet of 100 real processes: its talk, its memory, the loss of its leader; two minutes.
crowd: trial
	bin/cairnctl trial crowd

# The same fleets in virtual time: every order of steps of three boxes, then 2,000 seeds with drawn faults; a minute.
fleetsim: build
	LEASE_DEPTH=5 go test -count=1 -run 'TestEveryOrder' -v ./internal/decide/lease | grep -E 'states|ok|FAIL'
	bin/cairnctl trial fleetsim --seed $(SEED)

# Break the source in one place after the other: each is found by the test that is named for it. Two minutes.
mutants: build
	bin/cairnctl trial mutants

# What a large fleet says: 10, 100, 300 and 1,000 boxes in virtual time; 4 minutes.
fleetscale: build
	for n in 10 100 300 1000; do bin/cairnctl trial fleetsim --members $$n || exit 1; done

# What TLS costs beside plain connections: per request, per handshake, and memory per idle connection.
figures:
	go test -run '^$$' -bench 'Request|Handshake|Idle' ./internal/front
	go test -run '^$$' -bench Victim ./internal/decide/conns
