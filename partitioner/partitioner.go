// Package partitioner decides which workspaces find one another's cached parts. Engines and
// stores keep parts across changes of the configuration, and an instance may still send
// requests by an older one.
package partitioner

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
)

// digestBytes is the length of the digest in a partition.
const digestBytes = 8

// Partitioner names partitions of the caches. Workspaces share parts only within a partition.
// It depends on nothing but the isolated workspaces, so instances with the same configuration
// agree, also after a restart. The zero value is for a configuration without any.
type Partitioner struct {
	shared string
}

// New returns a partitioner for the names of the isolated workspaces. Those that are not
// isolated share a partition that only they have ever used: a workspace that becomes isolated
// leaves its parts behind in another one.
func New(isolated []string) Partitioner {
	if len(isolated) == 0 {
		return Partitioner{}
	}
	digest := sha256.New()
	for _, name := range slices.Compact(slices.Sorted(slices.Values(isolated))) {
		digest.Write(binary.AppendUvarint(nil, uint64(len(name))))
		digest.Write([]byte(name))
	}
	return Partitioner{shared: "/" + hex.EncodeToString(digest.Sum(nil)[:digestBytes])}
}

// Shared returns the partition of the workspaces that are not isolated.
func (p Partitioner) Shared() string { return p.shared }

// Own returns the partition of an isolated workspace.
func (p Partitioner) Own(workspace string) string { return "." + workspace }
