// Package exposer serves the metrics of a process in the Prometheus text format.
package exposer

import (
	"fmt"
	"sort"
	"strings"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
)

// Exposer serves the metrics in a registry.
type Exposer struct {
	registry metrics.Registry
}

// New returns an exposer of the metrics in registry.
func New(registry metrics.Registry) *Exposer { return &Exposer{registry: registry} }

// Handle writes the metrics in the Prometheus text format.
func (e *Exposer) Handle(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("text/plain; version=0.0.4")
	var lines []string
	e.registry.Each(func(name string, metric any) {
		group, reason, _ := strings.Cut(name, ".")
		switch metric := metric.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("wisteriadrum_%s_total{reason=%q} %d", metricName(group), reason, metric.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("wisteriadrum_%s %d", metricName(name), metric.Value()))
		case metrics.Histogram:
			for _, quantile := range []float64{0.5, 0.95, 0.99} {
				lines = append(lines, fmt.Sprintf("wisteriadrum_%s{quantile=\"%g\"} %g", metricName(name), quantile, metric.Percentile(quantile)))
			}
		}
	})
	sort.Strings(lines)
	ctx.SetBodyString(strings.Join(lines, "\n") + "\n")
}

// metricName replaces dots and hyphens, which Prometheus does not allow in names.
func metricName(name string) string { return strings.NewReplacer(".", "_", "-", "_").Replace(name) }
