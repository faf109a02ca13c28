package partitioner_test

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"wisteriadrum/partitioner"
)

var names = []string{"", "a", "b", "ab", "/", "."}

// subset returns the names whose bits are set.
func subset(bits int) (chosen []string) {
	for i, name := range names {
		if bits>>i&1 == 1 {
			chosen = append(chosen, name)
		}
	}
	return chosen
}

func partition(isolated []string, name string) string {
	if slices.Contains(isolated, name) {
		return partitioner.New(isolated).Own(name)
	}
	return partitioner.New(isolated).Shared()
}

// Guards against parts that an isolated workspace shares with another one: made under any
// configuration, before or after, by an instance that still has it or one that has restarted.
func TestIsolatedWorkspacesShareNothing(t *testing.T) {
	for bits := range 1 << len(names) {
		used := subset(bits)
		for otherBits := range 1 << len(names) {
			made := subset(otherBits)
			for _, maker := range names {
				for _, user := range names {
					if maker != user && partition(made, maker) == partition(used, user) {
						assert.Assert(t, !slices.Contains(used, maker) && !slices.Contains(used, user), "%q uses a part of %q, isolated are %q", user, maker, used)
					}
				}
			}
		}
		reversed := append(slices.Clone(used), used...)
		slices.Reverse(reversed)
		assert.Equal(t, partitioner.New(reversed), partitioner.New(used), "parts are lost for no reason")
	}
}
