// Package slope measures how the costs of the system grow: bytes, CPU time and
// allocations of a message with its size, and memory with the number of objects
// held. Each series is fitted as y = a + b x by the least squares of the relative
// errors; the fits, with their residuals, are the base of the capacity page.
//
// Messages are framed by protodelim as on the wire. Headers of net/rpc, TCP and
// IP are not included, except in a Rig, which counts at the connections and so
// leaves out those of TCP and IP only. Ids are UUIDs, names and addresses have the lengths of
// the reference deployments; longer ones cost more bytes.
//
// A Rig holds many agents in this process, against an entry with the scheduler
// in another one, so that the CPU time of the two is told apart. The stand-in
// store runs with the entry, and all endpoints are one stand-in in this process.
//
// A measurement uses the whole process (CPU time by getrusage, heap after
// garbage collection), so nothing else may run in it meanwhile.
package slope
