// Package slope measures how the costs of the system grow: bytes, CPU time and
// allocations of a message with its size, and memory with the number of objects
// held. Each series is fitted as y = a + b x by the least squares of the relative
// errors; the fits, with their residuals, are the base of the capacity page.
//
// Messages are framed by protodelim as on the wire. Headers of net/rpc, TCP and
// IP are not included. Ids are UUIDs, names and addresses have the lengths of
// the reference deployments; longer ones cost more bytes.
//
// A measurement uses the whole process (CPU time by getrusage, heap after
// garbage collection), so nothing else may run in it meanwhile.
package slope
