package runner

import (
	"context"
	"time"

	"wisteriadrum/monitor"
	"wisteriadrum/roller"
	"wisteriadrum/translator"
)

// countedEngines counts the calls to engines that take only so many requests a second, and
// observes what engines say of themselves in the answers.
type countedEngines struct {
	client roller.EngineClient
	runner *Runner
}

// engines returns the client of the engines.
func (r *Runner) engines() *countedEngines {
	return &countedEngines{client: r.deps.Engines(r.observe), runner: r}
}

// Report fetches the state of an engine.
func (c *countedEngines) Report(ctx context.Context, engine monitor.Entry) (roller.Report, error) {
	c.count(engine)
	return c.client.Report(ctx, engine)
}

// Order sends an order to an engine.
func (c *countedEngines) Order(ctx context.Context, engine monitor.Entry, order roller.Order) error {
	c.count(engine)
	return c.client.Order(ctx, engine, order)
}

// count counts a call to an engine that has named a limit.
func (c *countedEngines) count(engine monitor.Entry) {
	endpoint := c.runner.endpoint(engine)
	if endpoint == nil {
		return
	}
	if perSecond, limited := endpoint.Said().Limit(); limited {
		go c.runner.permitter.RecordCall(endpoint.Key, perSecond)
	}
}

// observe applies what an endpoint says of itself in the answer to a call that is no
// request.
func (r *Runner) observe(entry monitor.Entry, answer translator.Answer, sentAt time.Time) {
	if endpoint := r.endpoint(entry); endpoint != nil {
		r.relayer.Observe(endpoint, answer, sentAt)
	}
}

// endpoint returns the endpoint with an entry, nil if it is not known any more.
func (r *Runner) endpoint(entry monitor.Entry) *monitor.Monitor {
	endpoint := r.registrar.Fleet().All()[entry.Name]
	if endpoint == nil || endpoint.Entry().Incarnation != entry.Incarnation {
		return nil
	}
	return endpoint
}

// engine returns the name of an engine and the KV memory that running requests hold there.
func (r *Runner) engine(key uint64) (name string, runningTokens int) {
	engine := r.registrar.Fleet().ByKey(key)
	if engine == nil {
		return "", 0
	}
	view := engine.View("", time.Now())
	return view.Entry.Name, view.Load.KVTokens
}

// endpointName returns the name of the endpoint with a key, "" if it is not known.
func (r *Runner) endpointName(key uint64) string {
	endpoint := r.registrar.Fleet().ByKey(key)
	if endpoint == nil {
		return ""
	}
	return endpoint.Entry().Name
}
