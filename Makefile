# All targets need only Go, make, bash and curl.

MODULES := . cmd/poplarwinch cmd/standin cmd/load cmd/soak
PACKAGES := ./... ./cmd/poplarwinch/... ./cmd/standin/... ./cmd/load/... ./cmd/soak/...
DEPLOYMENT ?= maraval

# A regular expression of tests to skip; .ci/run sets it to those of KNOWN-RED.txt.
SKIP ?=
SEED ?= 1
SECONDS ?= 60

.PHONY: demo chaos soak platform-soak crowd test lint race bench build tools gopls fmt

demo: build
	scripts/demo $(DEPLOYMENT)

chaos: build
	scripts/chaos $(SEED) $(SECONDS)

soak: build
	scripts/chaos $(SEED) $(SECONDS) soak

# A soak of the platform's role with separate processes; see docs/chaos.md.
platform-soak: build
	bin/soak --seed $(SEED) --seconds $(SECONDS)

# Clients outside the limits against both programs, one test at a time; see docs/design/client-limits.md.
crowd: build
	go test -tags crowd -v -p 1 -parallel 1 -count=1 -timeout 20m $(if $(SKIP),-skip '$(SKIP)') ./internal/hostileclients

test:
	go test $(if $(SKIP),-skip '$(SKIP)') $(PACKAGES)

lint: tools
	scripts/tracked-size
	scripts/lint $(PACKAGES)

race:
	go test -race $(if $(SKIP),-skip '$(SKIP)') $(PACKAGES)

bench:
	go test -run '^$$' -bench . -benchmem ./...

build:
	go build -o bin/ ./cmd/poplarwinch ./cmd/standin ./cmd/load ./cmd/soak

tools:
	cd tools && GOWORK=off go build -o ../bin/ mvdan.cc/gofumpt github.com/mgechev/revive

# gopls has its own module, since it needs a different version of golang.org/x/tools than gofumpt.
gopls:
	cd tools/gopls && GOWORK=off go build -o ../../bin/ golang.org/x/tools/gopls

fmt: tools
	bin/gofumpt -w .
