// Package fakeep is a fake of the platform's endpoint: a worker that runs tasks
// under task leases.
//
// An Endpoint runs tasks by their attempt id, stops a task whose lease is not
// renewed, and keeps an append-only record of starts and ends for tests to check.
// It does not hide mistakes of its callers: a second start of the same attempt
// runs and is recorded, and a start beyond the limits is refused, recorded and
// counted. Faults are injected by Go methods or over a separate HTTP port.
package fakeep
