// Package slope measures how the costs of the system grow: bytes, CPU time and
// allocations of a message with its size, memory with the number of objects, and
// the load of an entry and its agents with their number. Each series is fitted as
// y = a + b x by least squares of the relative errors. The capacity page is based
// on these fits and their residuals.
//
// Messages are framed by protodelim as on the wire. Their sizes include no
// headers of net/rpc, TCP or IP. A Rig counts at the connections, so its counts
// lack the headers of TCP and IP only. IDs are UUIDs, and names and addresses are
// as long as in the reference deployments; longer ones cost more bytes.
//
// A Rig runs many agents in this process against an entry with the scheduler in
// another one, so that the CPU time of the two can be told apart. The fake store
// runs in the entry's process. One fake endpoint in this process serves all
// agents.
//
// A measurement covers the whole process (CPU time by getrusage, heap after
// garbage collection), so nothing else may run in the process at the same time.
package slope
