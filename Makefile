# Two commands on a fresh machine: `make demo` runs the main job on the
# embedded default (stand-ins on loopback); `make test` runs every test.
.PHONY: demo test build bench lint

demo:
	./scripts/demo.sh

test:
	./scripts/test.sh

build:
	go build -o bin/ ./cmd/...

bench:
	go test -run '^$$' -bench . -benchmem ./...

lint:
	test -z "$$(gofmt -l $$(git ls-files '*.go'))"
	go vet ./...
