package metric

import (
	"slices"
	"strings"

	metrics "github.com/rcrowley/go-metrics"
)

// Kind is the kind of a metric.
type Kind string

// Kinds of metrics.
const (
	KindCounter   Kind = "counter"
	KindGauge     Kind = "gauge"
	KindHistogram Kind = "histogram"
)

// Def is the definition of a metric. A metric with a label has one time series per label value.
type Def struct {
	Name  string
	Kind  Kind
	Unit  string
	Help  string
	Label string
}

var table []Def

func define(kind Kind, name, unit, label, help string) Def {
	d := Def{Name: name, Kind: kind, Unit: unit, Help: help, Label: label}
	table = append(table, d)
	return d
}

// Table returns all metrics, sorted by name.
func Table() []Def {
	t := slices.Clone(table)
	slices.SortFunc(t, func(a, b Def) int { return strings.Compare(a.Name, b.Name) })
	return t
}

// Set holds the values of the metrics of an instance.
type Set struct{ Registry metrics.Registry }

// NewSet returns an empty set.
func NewSet() *Set { return &Set{Registry: metrics.NewRegistry()} }

// Counter returns the counter of a metric for a label value, which is empty for a metric without
// a label.
func (s *Set) Counter(d Def, value string) metrics.Counter {
	return metrics.GetOrRegisterCounter(joinKey(d, value), s.Registry)
}

// Gauge returns the gauge of a metric for a label value.
func (s *Set) Gauge(d Def, value string) metrics.Gauge {
	return metrics.GetOrRegisterGauge(joinKey(d, value), s.Registry)
}

// sampleSize and sampleAlpha weight the samples of about the last five minutes, as the authors of
// go-metrics recommend.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// Histogram returns the histogram of a metric for a label value.
func (s *Set) Histogram(d Def, value string) metrics.Histogram {
	return s.Registry.GetOrRegister(joinKey(d, value), func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}).(metrics.Histogram)
}

// joinKey returns the registry key of a metric for a label value. Split is its inverse.
func joinKey(d Def, value string) string {
	if d.Label == "" {
		return d.Name
	}
	return d.Name + "|" + value
}

// Split returns the definition and the label value of a registry key.
func Split(registryKey string) (Def, string, bool) {
	name, value, _ := strings.Cut(registryKey, "|")
	for _, d := range table {
		if d.Name == name {
			return d, value, true
		}
	}
	return Def{}, "", false
}
