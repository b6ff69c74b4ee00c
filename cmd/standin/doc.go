// Command standin runs a stand-in for a part of the platform as a process: the
// key-value service or an endpoint. Each can serve an HTTP API that injects faults.
package main
