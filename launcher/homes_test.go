package launcher_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"wisteriadrum/inferrer"
	"wisteriadrum/launcher"
	"wisteriadrum/loader"
	"wisteriadrum/synthesizer"
)

// Instances must route a prompt prefix by the advice of its home instance, even
// if they have not received that prefix before. The failure of a home instance
// must not fail a request.
func TestHomeChooses(t *testing.T) {
	deployment := launch(t, func(o *launcher.Options) {
		o.DataCentres, o.Instances, o.Engines, o.HomeThreshold = []string{"a", "b"}, 2, 3, 2
	})
	time.Sleep(2 * time.Second) // for the membership to be complete
	for i := range 40 {
		body := prompt(strings.Repeat(fmt.Sprintf("document %d ", i%5), 100), 2, true)
		got := call(t, request{target: deployment.CallerAddresses()[i%4], path: "/v1/completions", body: body})
		assert.Assert(t, got.complete, "%s %s", got.code, got.text)
	}
	assert.Assert(t, counterSum(deployment, "home.advised") > 15, "advised %d times", counterSum(deployment, "home.advised"))
	requests := 0
	for _, engine := range deployment.Engines {
		requests += engine.Stats().Requests
	}
	assert.Equal(t, requests, 40)
	deployment.Instances[3].Kill()
	for i := range 12 {
		body := prompt(strings.Repeat(fmt.Sprintf("other %d ", i), 100), 2, true)
		got := call(t, request{target: deployment.CallerAddresses()[i%3], path: "/v1/completions", body: body})
		assert.Assert(t, got.complete, "%s %s", got.code, got.text)
	}
}

// BenchmarkHome reports the bytes between instances for each request whose home
// is another instance: question, advice and outcome, without idle traffic.
func BenchmarkHome(b *testing.B) {
	const requests = 200
	deployment, err := launcher.New(launcher.Options{
		DataCentres: []string{"a", "b"}, Instances: 1, Engines: 2, Workspaces: 1, HomeThreshold: 2, Log: zap.NewNop(),
		Engine: inferrer.Options{Weights: "v1", PieceBytes: 4000, CachePieces: 1000, PrefillNanosPerByte: 1, MicrosPerToken: 1},
	})
	if err != nil {
		b.Fatal(err)
	}
	defer deployment.Close()
	time.Sleep(3 * time.Second)
	bytes := func() int64 {
		return counterSum(deployment, "peers.sent-bytes") + counterSum(deployment, "peers.received-bytes")
	}
	for b.Loop() {
		before, advised, started := bytes(), counterSum(deployment, "home.advised"), time.Now()
		plan := loader.Plan{Targets: deployment.CallerAddresses(), Model: launcher.Model, Keys: []string{launcher.WorkspaceKey(0)}, Concurrency: 4, Tokens: 1}
		traffic := synthesizer.New(synthesizer.Consorzio(), 1)
		for range requests {
			plan.Requests = append(plan.Requests, traffic.NextOf(0))
		}
		loader.New().Run(b.Context(), plan)
		duration := time.Since(started)
		after := bytes()
		time.Sleep(duration)
		idle := bytes() - after
		b.ReportMetric(float64(after-before-idle)/float64(counterSum(deployment, "home.advised")-advised), "B/advice")
	}
}

func counterSum(deployment *launcher.Deployment, name string) int64 {
	total := int64(0)
	for _, instance := range deployment.Instances {
		total += instance.Counters()[name]
	}
	return total
}
