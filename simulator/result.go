package simulator

import (
	"fmt"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLatency        = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
	warmUp            = 20 * time.Second
)

// Result holds the measurements of a run. Requests and latencies leave out the
// requests that arrive in a warm-up of 20 seconds.
type Result struct {
	// Requests is the number of answered requests. Refused is the number of
	// requests that failed in all attempts or had no available engine.
	Requests int
	Refused  int
	// RateLimited is the number of requests refused by the rate limit of their
	// workspace.
	RateLimited int
	// HitRate is the share of prompt bytes found in caches.
	HitRate float64
	// P50, P95 and P99 are times to the first token in milliseconds.
	P50, P95, P99 float64
	// OthersP99 is P99 of all workspaces except the flooding one.
	OthersP99 float64
	// Wasted is the share of prompt bytes computed although another reachable
	// engine had them cached.
	Wasted float64
	// RestartHitRatio is the hit rate in the first second after half time divided
	// by that in the five seconds before.
	RestartHitRatio float64
	// LoadQueries is the number of load queries per request.
	LoadQueries float64
	// Skew is the maximum of the bytes computed by an engine divided by the mean.
	Skew float64

	firstTokens, others           *hdrhistogram.Histogram
	promptBytes, hitBytes         int
	duplicateBytes                int
	refusedCount                  int
	limitedCount                  int
	loadQueries                   int
	start                         time.Time
	halfTime                      time.Time
	beforeHalfTime, afterHalfTime hitCount
	floodingWorkspace             int
}

func newResult(flooder int) *Result {
	return &Result{
		floodingWorkspace: flooder, firstTokens: hdrhistogram.New(1, maxLatency, significantDigits), others: hdrhistogram.New(1, maxLatency, significantDigits),
	}
}

func (r *Result) recordFirstToken(answered *request, latency time.Duration) {
	if r.start.IsZero() {
		r.start = answered.arrival
	}
	if answered.arrival.Sub(r.start) < warmUp {
		return
	}
	r.Requests++
	_ = r.firstTokens.RecordValue(min(latency.Microseconds(), maxLatency)) // in range
	if answered.workspace != r.floodingWorkspace {
		_ = r.others.RecordValue(min(latency.Microseconds(), maxLatency)) // in range
	}
}

func (r *Result) finish(sim *simulation) {
	r.Refused = r.refusedCount
	r.RateLimited = r.limitedCount
	r.HitRate = ratio(r.hitBytes, r.promptBytes)
	r.Wasted = ratio(r.duplicateBytes, r.promptBytes)
	r.RestartHitRatio = ratio(r.afterHalfTime.hitBytes, r.afterHalfTime.promptBytes) / max(ratio(r.beforeHalfTime.hitBytes, r.beforeHalfTime.promptBytes), 0.01)
	r.LoadQueries = float64(r.loadQueries) / float64(max(r.Requests, 1))
	r.P50 = milliseconds(r.firstTokens, 50)
	r.P95 = milliseconds(r.firstTokens, 95)
	r.P99 = milliseconds(r.firstTokens, 99)
	r.OthersP99 = milliseconds(r.others, 99)
	maxComputed, total := 0, 0
	for _, e := range sim.engines {
		maxComputed = max(maxComputed, e.computedBytes)
		total += e.computedBytes
	}
	r.Skew = float64(maxComputed*len(sim.engines)) / float64(max(total, 1))
}

// String returns the result in one line.
func (r *Result) String() string {
	return fmt.Sprintf("hit %.3f p50 %.0f p95 %.0f p99 %.0f ms wasted %.4f skew %.2f n %d refused %d", r.HitRate, r.P50, r.P95, r.P99, r.Wasted, r.Skew, r.Requests, r.Refused)
}

// hitCount sums prompt bytes and those found in caches.
type hitCount struct{ promptBytes, hitBytes int }

func (t *hitCount) add(bytes, hit int) {
	t.promptBytes += bytes
	t.hitBytes += hit
}

// recordAdmission counts the prompt bytes of a request and those found in the
// cache.
func (r *Result) recordAdmission(now time.Time, bytes, hit int) {
	r.promptBytes += bytes
	r.hitBytes += hit
	switch since := now.Sub(r.halfTime); {
	case since < 0 && since > -5*time.Second:
		r.beforeHalfTime.add(bytes, hit)
	case since >= 0 && since < time.Second:
		r.afterHalfTime.add(bytes, hit)
	}
}

func milliseconds(histogram *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(histogram.ValueAtQuantile(quantile)) / 1000
}

func ratio(part, whole int) float64 { return float64(part) / float64(max(whole, 1)) }

// sortByArrival sorts jobs by the arrival of their requests, so that runs are
// reproducible.
func sortByArrival(jobs []*job) []*job {
	sort.Slice(jobs, func(i, j int) bool {
		a, b := jobs[i].request, jobs[j].request
		if a.arrival.Equal(b.arrival) {
			return a.workspace < b.workspace
		}
		return a.arrival.Before(b.arrival)
	})
	return jobs
}
