// Package packer encodes load reports and heartbeats compactly for gossip.
package packer

import (
	"encoding/binary"
	"math"
	"math/bits"
	"time"

	"wisteriadrum/reporter"
)

// Load is a load report of the endpoint at Index in the configuration's list,
// received at ReceivedAt.
type Load struct {
	Index      uint16
	ReceivedAt time.Time
	Report     reporter.Report
}

const (
	loadBytes   = 10
	ageUnit     = 100 * time.Millisecond
	maxAge      = math.MaxUint8 // in units of ageUnit
	leavingFlag = 1
	loadingFlag = 2
	queueUnit   = 64 // bytes
)

// Pack encodes the loads that are younger than 25 s at now, in ten bytes each:
// index, incarnation, queue, running, age and flags. The queue is rounded up to
// four significant bits. The version of the weights is left out.
func Pack(loads []Load, now time.Time) []byte {
	packed := make([]byte, 0, len(loads)*loadBytes)
	for _, load := range loads {
		age := now.Sub(load.ReceivedAt) / ageUnit
		if age < 0 || age >= maxAge {
			continue
		}
		packed = binary.BigEndian.AppendUint16(packed, load.Index)
		packed = binary.BigEndian.AppendUint32(packed, parseIncarnation(load.Report.Incarnation))
		packed = append(packed, encodeQueue(load.Report.Queue), uint8(min(load.Report.Running, math.MaxUint8)), uint8(age), encodeFlags(load.Report))
	}
	return packed
}

// Unpack decodes loads and computes the times of receipt from their ages at now.
// It ignores an incomplete load at the end.
func Unpack(packed []byte, now time.Time) []Load {
	loads := make([]Load, 0, len(packed)/loadBytes)
	for ; len(packed) >= loadBytes; packed = packed[loadBytes:] {
		loads = append(loads, Load{
			Index:      binary.BigEndian.Uint16(packed),
			ReceivedAt: now.Add(-time.Duration(packed[8]) * ageUnit),
			Report: reporter.Report{
				Incarnation: formatIncarnation(binary.BigEndian.Uint32(packed[2:])),
				Queue:       decodeQueue(packed[6]), Running: int(packed[7]), Leaving: packed[9]&leavingFlag != 0, Loading: packed[9]&loadingFlag != 0,
			},
		})
	}
	return loads
}

func encodeFlags(report reporter.Report) uint8 {
	var bits uint8
	if report.Leaving {
		bits |= leavingFlag
	}
	if report.Loading {
		bits |= loadingFlag
	}
	return bits
}

// encodeQueue encodes size, in bytes, as a four-bit exponent and the four highest
// bits of the size in queueUnit, rounded up.
func encodeQueue(size int) uint8 {
	if size < 0 {
		return 0
	}
	size = (size + queueUnit - 1) / queueUnit
	shift := max(bits.Len(uint(size))-4, 0)
	mantissa := (size + 1<<shift - 1) >> shift
	if mantissa > 15 {
		mantissa, shift = mantissa>>1, shift+1
	}
	return uint8(min(shift, 15)<<4 | mantissa)
}

func decodeQueue(packed uint8) int { return int(packed&15) << (packed >> 4) * queueUnit }
