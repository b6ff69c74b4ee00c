// Command stand2 runs the cases of the second review that are scripts.
//
// It starts the project's gates and relays as processes and plays the parts around them
// itself: the platform's store, the workers, the operator and the callers. Its first
// argument names the case. It exits with 0 if the rule of the case held, 1 if it was
// broken and 2 if the case could not be played.
package main
