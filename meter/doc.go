// Package meter offers OpenTelemetry metrics with a Prometheus page.
//
// Every metric is named in snake case, carries the prefix catkinpoint_ and the
// labels role and node. A Meter has its own registry, so that several roles in
// one process keep their metrics apart. All types are safe for concurrent use.
package meter
