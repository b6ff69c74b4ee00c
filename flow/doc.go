// Package flow has the generated messages of jobs that are graphs of steps:
// what the store keeps of them, and what schedulers and relays tell each other.
package flow
