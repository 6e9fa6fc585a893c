package operator

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// metricsContentType is the content type of the Prometheus text format.
const metricsContentType = "text/plain; version=0.0.4; charset=utf-8"

// metricPrefix distinguishes the project's metrics from those of other programs.
const metricPrefix = "pistachioroad_"

const secondsPerNanosecond = 1e-9

var quantiles = []float64{0.5, 0.95, 0.99}

// writeMetrics writes the registry in the Prometheus text format, sorted by
// name. go-metrics itself supports only formats that are pushed to a collector
// or that common scrapers do not read.
func writeMetrics(w io.Writer, registry metrics.Registry) {
	all := map[string]any{}
	registry.Each(func(name string, metric any) { all[name] = metric })
	names := make([]string, 0, len(all))
	for name := range all {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		writeMetric(w, metricName(name), all[name])
	}
}

func writeMetric(w io.Writer, name string, metric any) {
	switch m := metric.(type) {
	case metrics.Counter:
		writeSample(w, name, "counter", float64(m.Count()))
	case metrics.Gauge:
		writeSample(w, name, "gauge", float64(m.Value()))
	case metrics.GaugeFloat64:
		writeSample(w, name, "gauge", m.Value())
	case metrics.Meter:
		writeSample(w, name+"_total", "counter", float64(m.Snapshot().Count()))
	case metrics.Histogram:
		s := m.Snapshot()
		writeSummary(w, name, 1, s.Percentiles(quantiles), s.Sum(), s.Count())
	case metrics.Timer:
		// go-metrics records nanoseconds; Prometheus uses seconds.
		s := m.Snapshot()
		writeSummary(w, name+"_seconds", secondsPerNanosecond, s.Percentiles(quantiles), s.Sum(), s.Count())
	}
}

func writeSample(w io.Writer, name, kind string, value float64) {
	fmt.Fprintf(w, "# TYPE %s %s\n%s %v\n", name, kind, name, value)
}

// writeSummary writes the quantiles, sum and count of a summary. The values and
// their sum are multiplied by unit.
func writeSummary(w io.Writer, name string, unit float64, values []float64, sum, count int64) {
	fmt.Fprintf(w, "# TYPE %s summary\n", name)
	for i, q := range quantiles {
		fmt.Fprintf(w, "%s{quantile=\"%v\"} %v\n", name, q, values[i]*unit)
	}
	fmt.Fprintf(w, "%s_sum %v\n%s_count %d\n", name, float64(sum)*unit, name, count)
}

// metricName adds the prefix and replaces characters that Prometheus does not
// allow in a metric name.
func metricName(name string) string {
	return metricPrefix + strings.Map(func(r rune) rune {
		switch {
		case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9', r == '_', r == ':':
			return r
		default:
			return '_'
		}
	}, name)
}

// ServeMetrics is an HTTP handler that returns all metrics of the process.
func ServeMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", metricsContentType)
	writeMetrics(w, metrics.DefaultRegistry)
}
