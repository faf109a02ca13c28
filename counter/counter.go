// Package counter counts events, such as refusals and retries, by reason.
package counter

import (
	"github.com/rcrowley/go-metrics"
)

// Counter counts events in metrics named group.reason.
type Counter struct {
	registry metrics.Registry
}

// New returns a counter that registers its metrics in registry.
func New(registry metrics.Registry) *Counter {
	return &Counter{registry: registry}
}

// Add counts one event of a group with a reason.
func (c *Counter) Add(group, reason string) { c.AddMany(group, reason, 1) }

// AddMany counts n events of a group with a reason.
func (c *Counter) AddMany(group, reason string, n int) {
	metrics.GetOrRegisterCounter(group+"."+reason, c.registry).Inc(int64(n))
}

// Value returns the number of events of a group with a reason.
func (c *Counter) Value(group, reason string) int64 {
	return metrics.GetOrRegisterCounter(group+"."+reason, c.registry).Count()
}

// Observe adds a sample, such as a latency in microseconds, to the histogram
// name.
func (c *Counter) Observe(name string, sample int64) {
	histogram := c.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleDecay))
	})
	histogram.(metrics.Histogram).Update(sample)
}

// Set sets the gauge name.
func (c *Counter) Set(name string, value int) {
	metrics.GetOrRegisterGauge(name, c.registry).Update(int64(value))
}

// Registry returns the registry that contains the metrics.
func (c *Counter) Registry() metrics.Registry { return c.registry }

// The parameters of the exponentially decaying reservoir of a histogram.
const (
	sampleSize  = 1028
	sampleDecay = 0.015
)
