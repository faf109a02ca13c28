package simulator

import (
	"fmt"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxTaken = int64(10 * time.Minute / time.Microsecond)
	digits   = 3
	warmUp   = 20 * time.Second
)

// Result is what a run measured, after a warm-up of three seconds.
type Result struct {
	// Requests is the number answered, and Refused of those given up.
	Requests int
	Refused  int
	// RateLimited is the number refused by the limits of their workspace.
	RateLimited int
	// HitRate is the share of prompt bytes found in caches.
	HitRate float64
	// P50, P95 and P99 are times to the first token in milliseconds.
	P50, P95, P99 float64
	// OthersP99 is P99 of all workspaces but the one that floods.
	OthersP99 float64
	// Wasted is the share of prompt bytes computed although a live engine
	// held them.
	Wasted float64
	// RestartHitRatio is the hit rate of the first second after half time over that of
	// the five seconds before.
	RestartHitRatio float64
	// LoadQueries is the number of fresh loads asked for, for each request.
	LoadQueries float64
	// Skew is the largest number of bytes computed by an engine over the mean.
	Skew float64

	firsts, others *hdrhistogram.Histogram
	bytes, hit     int
	wasted         int
	refused        int
	limited        int
	asked          int
	start          time.Time
	half           time.Time
	before, after  tally
	flooder        int
}

func newResult(flooder int) *Result {
	return &Result{
		flooder: flooder, firsts: hdrhistogram.New(1, maxTaken, digits), others: hdrhistogram.New(1, maxTaken, digits),
	}
}

func (r *Result) first(q *request, taken time.Duration) {
	if r.start.IsZero() {
		r.start = q.at
	}
	if q.at.Sub(r.start) < warmUp {
		return
	}
	r.Requests++
	_ = r.firsts.RecordValue(min(taken.Microseconds(), maxTaken)) // in range
	if q.workspace != r.flooder {
		_ = r.others.RecordValue(min(taken.Microseconds(), maxTaken)) // in range
	}
}

func (r *Result) close(w *world) {
	r.Refused = r.refused
	r.RateLimited = r.limited
	r.HitRate = share(r.hit, r.bytes)
	r.Wasted = share(r.wasted, r.bytes)
	r.RestartHitRatio = share(r.after.hit, r.after.bytes) / max(share(r.before.hit, r.before.bytes), 0.01)
	r.LoadQueries = float64(r.asked) / float64(max(r.Requests, 1))
	r.P50 = milliseconds(r.firsts, 50)
	r.P95 = milliseconds(r.firsts, 95)
	r.P99 = milliseconds(r.firsts, 99)
	r.OthersP99 = milliseconds(r.others, 99)
	most, total := 0, 0
	for _, e := range w.engines {
		most = max(most, e.computed)
		total += e.computed
	}
	r.Skew = float64(most*len(w.engines)) / float64(max(total, 1))
}

// String returns the result in one line.
func (r *Result) String() string {
	return fmt.Sprintf("hit %.3f p50 %.0f p95 %.0f p99 %.0f ms wasted %.4f skew %.2f n %d refused %d", r.HitRate, r.P50, r.P95, r.P99, r.Wasted, r.Skew, r.Requests, r.Refused)
}

// tally sums up prompt bytes.
type tally struct{ bytes, hit int }

func (t *tally) add(bytes, hit int) {
	t.bytes += bytes
	t.hit += hit
}

// admitted counts the prompt bytes of a request and those found cached.
func (r *Result) admitted(now time.Time, bytes, hit int) {
	r.bytes += bytes
	r.hit += hit
	switch since := now.Sub(r.half); {
	case since < 0 && since > -5*time.Second:
		r.before.add(bytes, hit)
	case since >= 0 && since < time.Second:
		r.after.add(bytes, hit)
	}
}

func milliseconds(histogram *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(histogram.ValueAtQuantile(quantile)) / 1000
}

func share(part, whole int) float64 { return float64(part) / float64(max(whole, 1)) }

// sorted orders jobs by the arrival of their requests, so that runs repeat.
func sorted(jobs []*job) []*job {
	sort.Slice(jobs, func(i, j int) bool {
		a, b := jobs[i].request, jobs[j].request
		if a.at.Equal(b.at) {
			return a.workspace < b.workspace
		}
		return a.at.Before(b.at)
	})
	return jobs
}
