// Package metric defines the metrics of an instance and keeps them in a go-metrics registry.
//
// Each metric has a name, a unit and a help text in one table. docs/metrics.md lists them.
package metric
