# Every target works on a fresh machine with Go, make, bash and curl.

MODULES := . cmd/poplarwinch cmd/standin cmd/load
PACKAGES := ./... ./cmd/poplarwinch/... ./cmd/standin/... ./cmd/load/...
DEPLOYMENT ?= maraval

.PHONY: demo test lint race bench build tools fmt

demo: build
	scripts/demo $(DEPLOYMENT)

test:
	go test $(PACKAGES)

lint: tools
	scripts/lint $(PACKAGES)

race:
	go test -race $(PACKAGES)

bench:
	go test -run '^$$' -bench . -benchmem ./...

build:
	go build -o bin/ ./cmd/poplarwinch ./cmd/standin ./cmd/load

tools:
	cd tools && GOWORK=off go build -o ../bin/ mvdan.cc/gofumpt github.com/mgechev/revive

fmt: tools
	bin/gofumpt -w .
