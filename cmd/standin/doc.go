// Command standin runs the stand-ins of the platform as processes: the
// key-value service and the endpoint, each with a port to inject faults.
package main
