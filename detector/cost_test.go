package detector_test

import (
	"fmt"
	"testing"

	"wisteriadrum/detector"
)

// BenchmarkDecision measures what a request with 64 parts costs while there are 1,024
// suspects.
func BenchmarkDecision(b *testing.B) {
	d := detector.New()
	for n := range 1100 {
		crash(d, prompt(fmt.Sprint("suspect", n)))
	}
	var parts []string
	for n := range 63 {
		parts = append(parts, fmt.Sprint("part", n))
	}
	request := prompt(parts...)
	b.Run("find", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			d.Find(request, 0, now)
		}
	})
	b.Run("answer", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			d.RecordAnswer(request, now)
		}
	})
}
