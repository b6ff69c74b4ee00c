// Package fakekv is an in-memory fake of the platform's key-value service.
//
// A Server keeps all keys in memory, serves the protocol of package store over
// HTTP and implements store.KV for callers in the same process. It counts calls
// and injects faults, which are set by Go methods or over a separate HTTP port:
// outages, delays, answers that are lost after the write took effect, and leases
// that end before their time to live has passed. Faults apply to one named
// caller or to all.
//
// There is one revision for the whole service. Each change increments it, so a
// key that is deleted and created again never gets a revision it had before.
package fakekv
