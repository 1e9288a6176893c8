# Pinned tool versions; .ci/run needs nothing else installed but Go and make.
GOLANGCI_VERSION := v2.15.0

MODULES  := core toucanstair platform toucanctl toucanstore toucantarget toucanload toucandemo integration
PROGRAMS := toucanstair toucanctl toucanstore toucantarget toucanload toucandemo
PATHS    := $(addprefix ./,$(addsuffix /...,$(MODULES)))
TOOLS    := $(CURDIR)/.tools
BIN      := $(CURDIR)/bin

.PHONY: build demo test tools format lint unit process generate slopes bench

build:
	@mkdir -p $(BIN)
	@for p in $(PROGRAMS); do go build -o $(BIN)/$$p ./$$p || exit 1; done
	@go build -o $(BIN)/toucanedge ./platform

demo: build
	$(BIN)/toucandemo --bin $(BIN)

test: tools format lint unit process

tools:
	GOBIN=$(TOOLS) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)

format:
	@out=$$(gofmt -l $(MODULES)); if [ -n "$$out" ]; then echo "gofmt: $$out"; exit 1; fi

lint:
	go vet $(PATHS)
	$(TOOLS)/golangci-lint run $(PATHS)

unit:
	go test -race $(addprefix ./,$(addsuffix /...,$(filter-out integration,$(MODULES))))

process: build
	@if [ -f KNOWN-RED.txt ]; then echo "Passed over, see KNOWN-RED.txt:"; cat KNOWN-RED.txt; fi
	TOUCAN_BIN=$(BIN) go test -count=1 -timeout 30m ./integration/...

generate:
	protoc -I core/toucanpb --go_out=core/toucanpb --go_opt=paths=source_relative \
		--go-grpc_out=core/toucanpb --go-grpc_opt=paths=source_relative core/toucanpb/toucan.proto

# Measurements behind docs/CAPACITY.md; takes some minutes.
slopes:
	cd toucanstair && go test ./toucanmembership -run '^$$' -bench 'Zone|Loss|Relay|Cut|View' -benchtime 1x
	cd toucanstair && go test ./toucanconfig -run '^$$' -bench Accept -benchtime 5x
	cd toucanstair && go test ./toucandispatch -run '^$$' -bench 'Direct|Targets|ThroughPeer|Fan' -benchtime 20000x

# Measurements behind docs/MEASUREMENTS.md: the policy against the baseline without it.
bench: build
	$(BIN)/toucanload bench --size plumas --bin $(BIN)
	$(BIN)/toucanload bench --size kunene --bin $(BIN)
