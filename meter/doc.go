// Package meter creates OpenTelemetry metrics and serves them in the Prometheus
// text format.
//
// Metric names are in snake case and have the prefix catkinpoint_; every metric
// has the labels role and node. A Meter has its own registry, so that several
// roles in one process have separate metrics. All types are safe for concurrent
// use.
package meter
