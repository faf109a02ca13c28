package packer

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Beat is a sign of life of an instance that is known in full already. Boot
// names the instance and its start.
type Beat struct {
	Boot    uint32
	Count   uint32
	Leaving bool
}

const beatBytes = 9

// BootOf returns the short name of an instance's start.
func BootOf(name string, boot time.Time) uint32 {
	return uint32(xxhash.Sum64String(name + "@" + boot.UTC().Format(time.RFC3339Nano)))
}

// PackBeats returns beats in nine bytes each.
func PackBeats(beats []Beat) []byte {
	packed := make([]byte, 0, len(beats)*beatBytes)
	for _, beat := range beats {
		packed = binary.BigEndian.AppendUint32(packed, beat.Boot)
		packed = binary.BigEndian.AppendUint32(packed, beat.Count)
		flag := byte(0)
		if beat.Leaving {
			flag = leaving
		}
		packed = append(packed, flag)
	}
	return packed
}

// UnpackBeats returns the beats in packed. An incomplete one is left out.
func UnpackBeats(packed []byte) []Beat {
	beats := make([]Beat, 0, len(packed)/beatBytes)
	for ; len(packed) >= beatBytes; packed = packed[beatBytes:] {
		beats = append(beats, Beat{
			Boot: binary.BigEndian.Uint32(packed), Count: binary.BigEndian.Uint32(packed[4:]), Leaving: packed[8]&leaving != 0,
		})
	}
	return beats
}
