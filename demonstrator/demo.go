// Package demonstrator shows the router at work on loopback.
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
	requests = 120 // of each deployment
	atOnce   = 8
	tokens   = 12
)

// Result is what one deployment showed.
type Result struct {
	Deployment string        `json:"deployment"`
	Load       loader.Report `json:"load"`
	// HitRate is the share of prompt bytes found in caches.
	HitRate float64 `json:"hit_rate"`
	// Recomputed is the number of prompt bytes computed.
	Recomputed int `json:"recomputed_bytes"`
	// BookingRuns is how often the booking ran that was sent twice.
	BookingRuns int `json:"booking_runs"`
	// Counters are the refusals, retries and resumptions by reason.
	Counters map[string]int64 `json:"counters"`
}

// Run shows both deployments of the brief with traffic from seed. The error
// says what was wrong, cut or ran twice.
func Run(ctx context.Context, seed uint64) ([]Result, error) {
	deployments := []deployment{
		{name: "consorzio", sites: []string{"brescia-a", "brescia-b", "lecco-a", "lecco-b"}, shape: synthesizer.Consorzio(), weigh: director.MinTailLatency},
		{name: "gwasg", sites: []string{"cymru-a", "cymru-b", "cymru-c"}, shape: synthesizer.Gwasg(), weigh: director.MinRecompute},
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
		if err := result.judge(); err != nil {
			return results, err
		}
	}
	return results, nil
}

type deployment struct {
	name  string
	sites []string
	shape synthesizer.Workload
	weigh director.Objective
}

func (d deployment) run(ctx context.Context, seed uint64) (Result, error) {
	stage, err := launcher.New(launcher.Options{
		DataCentres: d.sites, Instances: 1, Engines: 1, Services: 1, Workspaces: d.shape.Workspaces, Objective: d.weigh,
		Engine: inferrer.Options{Weights: "v1", Piece: 4000, Pieces: 120, PrefillPerByte: 2000, TimePerToken: 1000},
		Log:    zap.NewNop(),
	})
	if err != nil {
		return Result{}, err
	}
	defer stage.Close()
	load := loader.New()
	traffic := synthesizer.New(d.shape, seed)
	report := load.Run(ctx, d.plan(stage, traffic))
	first := stage.Engines[0]
	before := first.Stats()
	time.AfterFunc(100*time.Millisecond, first.Crash)
	report = load.Run(ctx, d.plan(stage, traffic))
	result := Result{Deployment: d.name, Load: report, Counters: counters(stage)}
	computed, cached := before.Computed, before.Cached
	for _, engine := range stage.Engines[1:] {
		computed += engine.Stats().Computed
		cached += engine.Stats().Cached
	}
	result.Recomputed = computed
	result.HitRate = float64(cached) / float64(max(computed+cached, 1))
	result.BookingRuns, err = book(stage)
	return result, err
}

func (d deployment) plan(stage *launcher.Deployment, traffic *synthesizer.Traffic) loader.Plan {
	plan := loader.Plan{Targets: stage.CallerAddresses(), Model: launcher.Model, Concurrency: atOnce, Tokens: tokens}
	for i := range d.shape.Workspaces {
		plan.Keys = append(plan.Keys, launcher.WorkspaceKey(i))
	}
	for range requests / 2 {
		plan.Requests = append(plan.Requests, traffic.Next())
	}
	return plan
}

// book sends one booking through two instances and returns how often it ran.
func book(stage *launcher.Deployment) (int, error) {
	const body = `{"slot":"forge 3, Tuesday"}`
	var answers []string
	for _, caller := range stage.CallerAddresses()[:2] {
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
		return 0, eris.Errorf("the booking had two answers: %s and %s", answers[0], answers[1])
	}
	return stage.Services[0].Runs()[body], nil
}

func counters(stage *launcher.Deployment) map[string]int64 {
	totals := map[string]int64{}
	for _, node := range stage.Instances {
		for name, value := range node.Counters() {
			group, _, _ := strings.Cut(name, ".")
			if group == "refusal" || group == "retry" || group == "stream" {
				totals[name] += value
			}
		}
	}
	return totals
}

func (r Result) judge() error {
	if r.Load.Wrong+r.Load.Truncated > 0 || r.BookingRuns != 1 {
		return eris.Errorf("%s: %d wrong, %d cut, the booking ran %d times", r.Deployment, r.Load.Wrong, r.Load.Truncated, r.BookingRuns)
	}
	return nil
}

// String returns the result as a row of the demo's table.
func (r Result) String() string {
	return fmt.Sprintf("%-10s %8d %6d %6d %5d %8.1f %9.1f %9.1f %12d %9d",
		r.Deployment, r.Load.Requests, r.Load.Correct, r.Load.Wrong, r.Load.Truncated, 100*r.HitRate, r.Load.P50, r.Load.P99, r.Recomputed, r.BookingRuns)
}

// TableHeader is the head of the demo's table.
const TableHeader = "deployment requests  right  wrong   cut    hit %    p50 ms    p99 ms   recomputed  bookings"
