package metric

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	metrics "github.com/rcrowley/go-metrics"
)

// prefix separates the metric names from those of other programs in the same monitoring system.
const prefix = "briaryard_"

// quantiles are the quantiles of a histogram that are published.
var quantiles = []float64{0.5, 0.95, 0.99}

// Value is the current value of a metric for one label value.
type Value struct {
	Name  string `json:"name"`
	Kind  Kind   `json:"kind"`
	Unit  string `json:"unit"`
	Label string `json:"label,omitempty"`
	// LabelValue is the value of Label.
	LabelValue string `json:"label_value,omitempty"`
	// Value is the value of a counter or gauge, and the number of samples of a histogram.
	Value int64 `json:"value"`
	Sum   int64 `json:"sum,omitempty"`
	// Quantiles holds the quantiles of a histogram over about the last five minutes, by quantile.
	Quantiles map[string]float64 `json:"quantiles,omitempty"`
}

// Values returns the current values, sorted by name and label value.
func (s *Set) Values() []Value {
	var out []Value
	s.Registry.Each(func(registryKey string, m any) {
		d, label, ok := Split(registryKey)
		if !ok {
			return
		}
		v := Value{Name: d.Name, Kind: d.Kind, Unit: d.Unit, Label: d.Label, LabelValue: label}
		switch m := m.(type) {
		case metrics.Counter:
			v.Value = m.Count()
		case metrics.Gauge:
			v.Value = m.Value()
		case metrics.Histogram:
			h := m.Snapshot()
			v.Value, v.Sum = h.Count(), h.Sum()
			v.Quantiles = make(map[string]float64, len(quantiles))
			for i, q := range h.Percentiles(quantiles) {
				v.Quantiles[formatFloat(quantiles[i])] = q
			}
		}
		out = append(out, v)
	})
	slices.SortFunc(out, func(a, b Value) int {
		if c := strings.Compare(a.Name, b.Name); c != 0 {
			return c
		}
		return strings.Compare(a.LabelValue, b.LabelValue)
	})
	return out
}

// WriteText writes the values in the Prometheus text exposition format, version 0.0.4. A histogram
// is written as a summary.
func (s *Set) WriteText(w io.Writer) error {
	values := s.Values()
	for _, d := range Table() {
		headerWritten := false
		for _, v := range values {
			if v.Name != d.Name {
				continue
			}
			if !headerWritten {
				headerWritten = true
				if _, err := fmt.Fprintf(w, "# HELP %s%s %s Unit: %s.\n# TYPE %s%s %s\n",
					prefix, d.Name, escape(d.Help), d.Unit, prefix, d.Name, expositionType(d.Kind)); err != nil {
					return err
				}
			}
			if err := writeValue(w, v); err != nil {
				return err
			}
		}
	}
	return nil
}

func writeValue(w io.Writer, v Value) error {
	var labels []string
	if v.Label != "" {
		labels = append(labels, v.Label+`="`+escape(v.LabelValue)+`"`)
	}
	name := prefix + v.Name
	if v.Kind != KindHistogram {
		_, err := fmt.Fprintf(w, "%s%s %d\n", name, formatLabels(labels), v.Value)
		return err
	}
	for _, q := range quantiles {
		quantileLabels := append(slices.Clone(labels), `quantile="`+formatFloat(q)+`"`)
		if _, err := fmt.Fprintf(w, "%s%s %s\n", name, formatLabels(quantileLabels), formatFloat(v.Quantiles[formatFloat(q)])); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%s_sum%s %d\n%s_count%s %d\n", name, formatLabels(labels), v.Sum, name, formatLabels(labels), v.Value)
	return err
}

func expositionType(k Kind) string {
	if k == KindHistogram {
		return "summary"
	}
	return string(k)
}

func formatLabels(labels []string) string {
	if len(labels) == 0 {
		return ""
	}
	return "{" + strings.Join(labels, ",") + "}"
}

func formatFloat(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

var escaper = strings.NewReplacer(`\`, `\\`, "\n", `\n`, `"`, `\"`)

func escape(text string) string { return escaper.Replace(text) }
