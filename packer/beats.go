package packer

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Heartbeat is a sign of life of an instance that is known in full already. Boot
// names the instance and its start.
type Heartbeat struct {
	BootHash uint32
	Count    uint32
	Leaving  bool
}

const beatBytes = 9

// BootHash returns the short name of an instance's start.
func BootHash(name string, boot time.Time) uint32 {
	return uint32(xxhash.Sum64String(name + "@" + boot.UTC().Format(time.RFC3339Nano)))
}

// PackHeartbeats returns beats in nine bytes each.
func PackHeartbeats(beats []Heartbeat) []byte {
	packed := make([]byte, 0, len(beats)*beatBytes)
	for _, beat := range beats {
		packed = binary.BigEndian.AppendUint32(packed, beat.BootHash)
		packed = binary.BigEndian.AppendUint32(packed, beat.Count)
		flag := byte(0)
		if beat.Leaving {
			flag = leaving
		}
		packed = append(packed, flag)
	}
	return packed
}

// UnpackHeartbeats returns the beats in packed. An incomplete one is left out.
func UnpackHeartbeats(packed []byte) []Heartbeat {
	beats := make([]Heartbeat, 0, len(packed)/beatBytes)
	for ; len(packed) >= beatBytes; packed = packed[beatBytes:] {
		beats = append(beats, Heartbeat{
			BootHash: binary.BigEndian.Uint32(packed), Count: binary.BigEndian.Uint32(packed[4:]), Leaving: packed[8]&leaving != 0,
		})
	}
	return beats
}
