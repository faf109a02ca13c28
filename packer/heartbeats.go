package packer

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Heartbeat is the heartbeat counter of an instance whose full description the
// receiver already has. BootHash identifies the instance and its start time.
type Heartbeat struct {
	BootHash uint32
	Count    uint32
	Leaving  bool
}

const heartbeatBytes = 9

// BootHash returns the hash of an instance's name and start time.
func BootHash(name string, boot time.Time) uint32 {
	return uint32(xxhash.Sum64String(name + "@" + boot.UTC().Format(time.RFC3339Nano)))
}

// PackHeartbeats encodes heartbeats in nine bytes each.
func PackHeartbeats(heartbeats []Heartbeat) []byte {
	packed := make([]byte, 0, len(heartbeats)*heartbeatBytes)
	for _, heartbeat := range heartbeats {
		packed = binary.BigEndian.AppendUint32(packed, heartbeat.BootHash)
		packed = binary.BigEndian.AppendUint32(packed, heartbeat.Count)
		flag := byte(0)
		if heartbeat.Leaving {
			flag = leavingFlag
		}
		packed = append(packed, flag)
	}
	return packed
}

// UnpackHeartbeats decodes heartbeats. It ignores an incomplete one at the end.
func UnpackHeartbeats(packed []byte) []Heartbeat {
	heartbeats := make([]Heartbeat, 0, len(packed)/heartbeatBytes)
	for ; len(packed) >= heartbeatBytes; packed = packed[heartbeatBytes:] {
		heartbeats = append(heartbeats, Heartbeat{
			BootHash: binary.BigEndian.Uint32(packed), Count: binary.BigEndian.Uint32(packed[4:]), Leaving: packed[8]&leavingFlag != 0,
		})
	}
	return heartbeats
}
