MODULES = common standin jackdawd jackdaw
GOLANGCI_LINT_VERSION = v2.15.0
TOOLS = $(CURDIR)/bin/tools

.PHONY: build run test model lint bench tools

build:
	go build -o bin/ ./jackdawd ./jackdaw ./standin

run: build
	./scripts/run

test: model
	go test $(addprefix ./,$(addsuffix /...,$(MODULES)))

model:
	./spec/check

lint: tools
	test -z "$$(gofmt -l $(MODULES))"
	for m in $(MODULES); do (cd $$m && $(TOOLS)/golangci-lint run --config ../.golangci.yml ./...) || exit 1; done

bench:
	go test -run '^$$' -bench . -benchtime 1x ./jackdawd/...

tools:
	test -x $(TOOLS)/golangci-lint || GOBIN=$(TOOLS) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_LINT_VERSION)
