.PHONY: run smoke test lint build

run: ## a whole deployment on loopback, until Ctrl-C
	bash deploy/run.sh leabhar

smoke: ## the same, ends by itself
	bash deploy/run.sh --smoke leabhar

test:
	bash .ci/test

build:
	go build -o bin/ ./cmd/...

lint:
	cd tools && go build -o ../bin/ github.com/golangci/golangci-lint/v2/cmd/golangci-lint mvdan.cc/gofumpt
	bin/gofumpt -l cmd internal platform
	bin/golangci-lint run ./...
