package counter_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"wisteriadrum/refuser"
)

var (
	added    = regexp.MustCompile(`\.(?:Add|AddMany)\("([a-z]+)", "([a-z-]+[a-z])"`)
	observed = regexp.MustCompile(`\.Observe\("([a-z.-]+)"`)
	set      = regexp.MustCompile(`\.Set\("([a-z]+\.[a-z-]+)"`)
	reasons  = regexp.MustCompile(`[Rr]eason: "([a-z]+)"`)
	listed   = regexp.MustCompile("(?m)^\\| `([a-z.-]+)`")
)

// Guards against a page of metrics that misses a counter of the code or lists one
// that does not exist.
func TestPageListsEveryCounter(t *testing.T) {
	page, err := os.ReadFile("../docs/METRICS.md")
	assert.NilError(t, err)
	onPage := map[string]bool{}
	for _, match := range listed.FindAllStringSubmatch(string(page), -1) {
		onPage[match[1]] = true
	}
	inCode := counters(t)
	for name := range inCode {
		assert.Check(t, onPage[name], "%s is not on the page", name)
	}
	for name := range onPage {
		assert.Check(t, inCode[name], "%s is not in the code", name)
	}
}

func counters(t *testing.T) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	for _, code := range refuser.Codes() {
		names["refusal."+string(code)] = true
	}
	files, err := filepath.Glob("../*/*.go")
	assert.NilError(t, err)
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		source, err := os.ReadFile(file)
		assert.NilError(t, err)
		for _, match := range added.FindAllStringSubmatch(string(source), -1) {
			names[match[1]+"."+match[2]] = true
		}
		for _, match := range set.FindAllStringSubmatch(string(source), -1) {
			names[match[1]] = true
		}
		for _, match := range observed.FindAllStringSubmatch(string(source), -1) {
			names[match[1]] = true
		}
		if folder := filepath.Base(filepath.Dir(file)); folder == "coster" || folder == "picker" || folder == "balancer" || folder == "delegator" {
			for _, match := range reasons.FindAllStringSubmatch(string(source), -1) {
				names["choice."+match[1]] = true
			}
		}
	}
	// Package meter counts these in a group that is passed as an argument.
	names["peers.sent-bytes"], names["peers.received-bytes"] = true, true
	return names
}
