// Package demonstrator runs two example deployments on loopback and measures
// them, with a crash of an engine.
package demonstrator

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"wisteriadrum/director"
	"wisteriadrum/inferrer"
	"wisteriadrum/launcher"
	"wisteriadrum/loader"
	"wisteriadrum/synthesizer"
)

const (
	requestCount = 120 // per deployment
	concurrency  = 8
	tokenCount   = 12
)

// Result holds the measurements of a deployment.
type Result struct {
	Deployment string        `json:"deployment"`
	Load       loader.Report `json:"load"`
	// HitRate is the share of prompt bytes found in caches.
	HitRate float64 `json:"hit_rate"`
	// Recomputed is the number of prompt bytes computed by prefill.
	Recomputed int `json:"recomputed_bytes"`
	// BookingRuns is the number of runs of a booking that was sent twice.
	BookingRuns int `json:"booking_runs"`
	// Counters are the numbers of refusals, retries and resumed streams by reason.
	Counters map[string]int64 `json:"counters"`
}

// Run runs both example deployments with seeded traffic. It returns an error if
// an answer was wrong or truncated or the booking did not run exactly once.
func Run(ctx context.Context, seed uint64) ([]Result, error) {
	deployments := []deployment{
		{name: "consorzio", dataCentres: []string{"brescia-a", "brescia-b", "lecco-a", "lecco-b"}, workload: synthesizer.Consorzio(), objective: director.MinTailLatency},
		{name: "gwasg", dataCentres: []string{"cymru-a", "cymru-b", "cymru-c"}, workload: synthesizer.Gwasg(), objective: director.MinRecompute},
	}
	var results []Result
	for _, d := range deployments {
		result, err := d.run(ctx, seed)
		if err != nil {
			return results, err
		}
		results = append(results, result)
	}
	for _, result := range results {
		if err := result.verify(); err != nil {
			return results, err
		}
	}
	return results, nil
}

type deployment struct {
	name        string
	dataCentres []string
	workload    synthesizer.Workload
	objective   director.Objective
}

func (d deployment) run(ctx context.Context, seed uint64) (Result, error) {
	launched, err := launcher.New(launcher.Options{
		DataCentres: d.dataCentres, Instances: 1, Engines: 1, Services: 1, Workspaces: d.workload.Workspaces, Objective: d.objective,
		Engine: inferrer.Options{Weights: "v1", PieceBytes: 4000, CachePieces: 120, PrefillNanosPerByte: 2000, MicrosPerToken: 1000},
		Log:    zap.NewNop(),
	})
	if err != nil {
		return Result{}, err
	}
	defer launched.Close()
	generator := loader.New()
	traffic := synthesizer.New(d.workload, seed)
	report := generator.Run(ctx, d.plan(launched, traffic))
	first := launched.Engines[0]
	before := first.Stats()
	time.AfterFunc(100*time.Millisecond, first.Crash)
	report = generator.Run(ctx, d.plan(launched, traffic))
	result := Result{Deployment: d.name, Load: report, Counters: sumCounters(launched)}
	computed, cached := before.Computed, before.Cached
	for _, engine := range launched.Engines[1:] {
		computed += engine.Stats().Computed
		cached += engine.Stats().Cached
	}
	result.Recomputed = computed
	result.HitRate = float64(cached) / float64(max(computed+cached, 1))
	result.BookingRuns, err = sendBooking(launched)
	return result, err
}

func (d deployment) plan(launched *launcher.Deployment, traffic *synthesizer.Traffic) loader.Plan {
	plan := loader.Plan{Targets: launched.CallerAddresses(), Model: launcher.Model, Concurrency: concurrency, Tokens: tokenCount}
	for i := range d.workload.Workspaces {
		plan.Keys = append(plan.Keys, launcher.WorkspaceKey(i))
	}
	for range requestCount / 2 {
		plan.Requests = append(plan.Requests, traffic.Next())
	}
	return plan
}

// sendBooking sends a booking with the same idempotency key to two instances and
// returns the number of its runs.
func sendBooking(launched *launcher.Deployment) (int, error) {
	const body = `{"slot":"forge 3, Tuesday"}`
	var answers []string
	for _, caller := range launched.CallerAddresses()[:2] {
		request, err := http.NewRequest(http.MethodPost, "http://"+caller+launcher.BookingPath, bytes.NewReader([]byte(body)))
		if err != nil {
			return 0, err
		}
		request.Header.Set("Authorization", "Bearer "+launcher.WorkspaceKey(0))
		request.Header.Set("Idempotency-Key", "tuesday")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return 0, err
		}
		text, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			return 0, err
		}
		answers = append(answers, string(text))
	}
	if answers[0] != answers[1] {
		return 0, eris.Errorf("the booking got two different answers: %s and %s", answers[0], answers[1])
	}
	return launched.Services[0].Runs()[body], nil
}

func sumCounters(launched *launcher.Deployment) map[string]int64 {
	totals := map[string]int64{}
	for _, instance := range launched.Instances {
		for name, value := range instance.Counters() {
			group, _, _ := strings.Cut(name, ".")
			if group == "refusal" || group == "retry" || group == "stream" {
				totals[name] += value
			}
		}
	}
	return totals
}

func (r Result) verify() error {
	if r.Load.Wrong+r.Load.Truncated > 0 || r.BookingRuns != 1 {
		return eris.Errorf("%s: %d answers wrong, %d truncated; the booking ran %d times", r.Deployment, r.Load.Wrong, r.Load.Truncated, r.BookingRuns)
	}
	return nil
}

// String returns the result as a row of the demo's table.
func (r Result) String() string {
	return fmt.Sprintf("%-10s %8d %6d %6d %5d %8.1f %9.1f %9.1f %12d %9d",
		r.Deployment, r.Load.Requests, r.Load.Correct, r.Load.Wrong, r.Load.Truncated, 100*r.HitRate, r.Load.P50, r.Load.P99, r.Recomputed, r.BookingRuns)
}

// TableHeader is the header line of the table of results.
const TableHeader = "deployment requests  right  wrong   cut    hit %    p50 ms    p99 ms   recomputed  bookings"
