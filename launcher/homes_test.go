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

// Instances that ask a prefix's home agree on its endpoint without having seen
// it, and a home that is gone costs no request.
func TestHomeChooses(t *testing.T) {
	stage := open(t, func(o *launcher.Options) {
		o.DataCentres, o.Instances, o.Engines, o.Homes = []string{"a", "b"}, 2, 3, 2
	})
	time.Sleep(2 * time.Second) // for all to have met
	for i := range 40 {
		body := prompt(strings.Repeat(fmt.Sprintf("document %d ", i%5), 100), 2, true)
		got := call(t, request{target: stage.CallerAddresses()[i%4], path: "/v1/completions", body: body})
		assert.Assert(t, got.complete, "%s %s", got.code, got.text)
	}
	assert.Assert(t, counted(stage, "home.advised") > 15, "advised %d times", counted(stage, "home.advised"))
	requests := 0
	for _, engine := range stage.Engines {
		requests += engine.Stats().Requests
	}
	assert.Equal(t, requests, 40)
	stage.Instances[3].Kill()
	for i := range 12 {
		body := prompt(strings.Repeat(fmt.Sprintf("other %d ", i), 100), 2, true)
		got := call(t, request{target: stage.CallerAddresses()[i%3], path: "/v1/completions", body: body})
		assert.Assert(t, got.complete, "%s %s", got.code, got.text)
	}
}

// BenchmarkHome gives the bytes between instances for each request whose home
// is another instance: the question, the choice and the outcome.
func BenchmarkHome(b *testing.B) {
	const requests = 200
	stage, err := launcher.New(launcher.Options{
		DataCentres: []string{"a", "b"}, Instances: 1, Engines: 2, Workspaces: 1, Homes: 2, Log: zap.NewNop(),
		Engine: inferrer.Options{Weights: "v1", Piece: 4000, Pieces: 1000, PrefillPerByte: 1, TimePerToken: 1},
	})
	if err != nil {
		b.Fatal(err)
	}
	defer stage.Close()
	time.Sleep(3 * time.Second)
	bytes := func() int64 { return counted(stage, "peers.sent-bytes") + counted(stage, "peers.received-bytes") }
	for b.Loop() {
		before, advised, begun := bytes(), counted(stage, "home.advised"), time.Now()
		plan := loader.Plan{Targets: stage.CallerAddresses(), Model: launcher.Model, Keys: []string{launcher.WorkspaceKey(0)}, Concurrency: 4, Tokens: 1}
		traffic := synthesizer.New(synthesizer.Consorzio(), 1)
		for range requests {
			plan.Requests = append(plan.Requests, traffic.NextOf(0))
		}
		loader.New().Run(b.Context(), plan)
		taken := time.Since(begun)
		after := bytes()
		time.Sleep(taken)
		idle := bytes() - after
		b.ReportMetric(float64(after-before-idle)/float64(counted(stage, "home.advised")-advised), "B/advice")
	}
}

func counted(stage *launcher.Deployment, name string) int64 {
	total := int64(0)
	for _, node := range stage.Instances {
		total += node.Counters()[name]
	}
	return total
}
