.PHONY: spec test demo
spec:
	@sh spec/run
test:
	go test ./...
demo:
	go run ./cmd/wisteriadrum demo
