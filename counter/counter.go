// Package counter counts refusals, retries and events by reason.
package counter

import (
	"github.com/rcrowley/go-metrics"
)

// Counter counts under names of the form group.reason.
type Counter struct {
	registry metrics.Registry
}

// New returns a counter that registers its names in registry.
func New(registry metrics.Registry) *Counter {
	return &Counter{registry: registry}
}

// Add counts one event of reason in group.
func (c *Counter) Add(group, reason string) { c.AddMany(group, reason, 1) }

// AddMany counts many events of reason in group.
func (c *Counter) AddMany(group, reason string, many int) {
	metrics.GetOrRegisterCounter(group+"."+reason, c.registry).Inc(int64(many))
}

// Value returns how often reason was counted in group.
func (c *Counter) Value(group, reason string) int64 {
	return metrics.GetOrRegisterCounter(group+"."+reason, c.registry).Count()
}

// Observe records a sample, for instance a time in microseconds, under name.
func (c *Counter) Observe(name string, sample int64) {
	histogram := c.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleDecay))
	})
	histogram.(metrics.Histogram).Update(sample)
}

// Registry returns the registry that holds the counters.
func (c *Counter) Registry() metrics.Registry { return c.registry }

const (
	sampleSize  = 1028
	sampleDecay = 0.015
)
