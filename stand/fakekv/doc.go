// Package fakekv is the stand-in of the platform's key-value service.
//
// A Server keeps all keys in memory, serves the protocol of package store over
// HTTP and implements store.KV in the same process. It counts calls and injects
// faults, by Go methods or over a separate HTTP port: down, slow, answers lost
// after the write took effect, leases that lapse early. Faults apply to one
// named caller or to all.
//
// Revisions are those of the whole service and grow by one with each change, so
// a key that is deleted and created again never has an old revision.
package fakekv
