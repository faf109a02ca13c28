// Package packer packs load reports of many endpoints into a few bytes each.
package packer

import (
	"encoding/binary"
	"math"
	"math/bits"
	"time"

	"wisteriadrum/reporter"
)

// Load is a load report that arrived at At, of the endpoint at Index in the
// configuration's list.
type Load struct {
	Index      uint16
	ReceivedAt time.Time
	Report     reporter.Report
}

const (
	loadBytes = 10
	ageUnit   = 100 * time.Millisecond
	oldest    = math.MaxUint8
	leaving   = 1
	loading   = 2
	queueUnit = 64 // bytes
)

// Pack returns the loads that are younger than 25 s at now, ten bytes each:
// index, incarnation, queue, running, age and flags. A queue is rounded up to
// a multiple of a power of two with four significant bits. The version of the
// weights is not carried.
func Pack(loads []Load, now time.Time) []byte {
	packed := make([]byte, 0, len(loads)*loadBytes)
	for _, load := range loads {
		age := now.Sub(load.ReceivedAt) / ageUnit
		if age < 0 || age >= oldest {
			continue
		}
		packed = binary.BigEndian.AppendUint16(packed, load.Index)
		packed = binary.BigEndian.AppendUint32(packed, incarnation(load.Report.Incarnation))
		packed = append(packed, squeeze(load.Report.Queue), uint8(min(load.Report.Running, math.MaxUint8)), uint8(age), flags(load.Report))
	}
	return packed
}

// Unpack returns the loads in packed as they are at now. An incomplete load
// at the end is left out.
func Unpack(packed []byte, now time.Time) []Load {
	loads := make([]Load, 0, len(packed)/loadBytes)
	for ; len(packed) >= loadBytes; packed = packed[loadBytes:] {
		loads = append(loads, Load{
			Index:      binary.BigEndian.Uint16(packed),
			ReceivedAt: now.Add(-time.Duration(packed[8]) * ageUnit),
			Report: reporter.Report{
				Incarnation: name(binary.BigEndian.Uint32(packed[2:])),
				Queue:       expand(packed[6]), Running: int(packed[7]), Leaving: packed[9]&leaving != 0, Loading: packed[9]&loading != 0,
			},
		})
	}
	return loads
}

func flags(report reporter.Report) uint8 {
	var bits uint8
	if report.Leaving {
		bits |= leaving
	}
	if report.Loading {
		bits |= loading
	}
	return bits
}

// squeeze keeps the four highest bits of a size in queueUnit, rounded up.
func squeeze(size int) uint8 {
	if size < 0 {
		return 0
	}
	size = (size + queueUnit - 1) / queueUnit
	shift := max(bits.Len(uint(size))-4, 0)
	kept := (size + 1<<shift - 1) >> shift
	if kept > 15 {
		kept, shift = kept>>1, shift+1
	}
	return uint8(min(shift, 15)<<4 | kept)
}

func expand(packed uint8) int { return int(packed&15) << (packed >> 4) * queueUnit }
