MODULES = common platform standin jackdawd jackdaw capacity soak
TOOLS = $(CURDIR)/bin/tools

.PHONY: build run run-platform soak test race model lint capacity days bench tools gopls

build:
	go build -o bin/ ./jackdawd ./jackdaw ./standin

run: build
	./scripts/run

# The same on a stand-in for the users' platform.
run-platform: build
	./scripts/run platform

test: model
	go test -timeout 30m -skip '$(shell ./scripts/known-red)' $(addprefix ./,$(addsuffix /...,$(MODULES)))

# What runs concurrently between hosts, callers and upstreams.
race:
	go test -race ./common/peers ./common/wire ./jackdawd/internal/exchange ./jackdawd/internal/membership ./jackdawd/internal/relay ./jackdawd/internal/transit

# One short seed of faults against real processes, and those that have failed once; more
# by hand, see the operators' guide.
soak: build
	go build -o bin/ ./soak
	rm -rf bin/soak-logs
	bin/soak run bin/jackdawd bin/soak-logs $(shell ./scripts/known-red soak) --seed 1 --faults 6s
	bin/soak run bin/jackdawd bin/soak-logs $(shell ./scripts/known-red soak) --seed 8007 --faults 10s --hosts 8 --upstreams 24 --only crash-on-part,skew-callers,unframe-upstream
	bin/soak run bin/jackdawd bin/soak-logs $(shell ./scripts/known-red soak) --seed 12003 --faults 3s --only silence-several,change-configuration
	bin/soak run bin/jackdawd bin/soak-logs $(shell ./scripts/known-red soak) --regressions

model:
	./spec/check

lint: tools
	test -z "$$(gofmt -l $(MODULES))"
	for m in $(MODULES); do (cd $$m && $(TOOLS)/golangci-lint run --config ../.golangci.yml ./...) || exit 1; done

# The figures of docs/CAPACITY.md, measured again.
capacity:
	go test -run '^$$' -benchtime 200ms -bench 'Bytes|View|MovedChat|Decision|Configuration|Replay|Claims' ./jackdawd/internal/routing ./jackdawd/internal/ledger ./common/register | grep -E '^(Benchmark|pkg)' > docs/measurements/slopes.txt
	go test -run '^$$' -benchtime 1s -bench 'AddedLatency|Streaming|ControlBytes|HostList|ClaimCall' ./jackdawd/internal/node | grep -E '^(Benchmark|pkg)' >> docs/measurements/slopes.txt
	go test -run '^$$' -benchtime 200ms -bench 'Choose|Warmth|Follow|Exchange|Snapshot' ./jackdawd/internal/placement ./jackdawd/internal/fleet ./jackdawd/internal/membership | grep -E '^(Benchmark|pkg)' >> docs/measurements/slopes.txt
	go test -run '^$$' -benchtime 60x -bench 'ClaimLatency' ./jackdawd/internal/node | grep -E '^Benchmark' >> docs/measurements/slopes.txt
	go run ./capacity table docs/measurements/slopes.txt docs/CAPACITY.md
	go run ./capacity plot docs/measurements/slopes.txt docs/plots

# The page of days measured on the users' platform, written again from the journal.
days:
	go run ./capacity days journal 2026-12-02T20:09 docs/measurements/platform.md

# The figures of docs/measurements/routing.md, measured again; takes about six minutes.
bench:
	go test -run '^$$' -bench Routing -benchtime 1x -timeout 30m ./jackdawd/internal/measure > docs/measurements/routing.txt
	./scripts/routing-table < docs/measurements/routing.txt > docs/measurements/routing.md

tools:
	test -x $(TOOLS)/golangci-lint || (cd tools && GOWORK=off go build -o $(TOOLS)/golangci-lint github.com/golangci/golangci-lint/v2/cmd/golangci-lint)

# The language server, which renames identifiers throughout the workspace.
gopls:
	test -x $(TOOLS)/gopls || (cd tools/gopls && GOWORK=off go build -o $(TOOLS)/gopls golang.org/x/tools/gopls)
