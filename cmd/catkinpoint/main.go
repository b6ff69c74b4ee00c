// Command catkinpoint runs the processes of the scheduler and the operators'
// commands. The first argument selects which.
package main

import (
	"os"

	"catkinpoint/verbs"
)

func main() {
	os.Exit(verbs.Main(os.Args[1:], os.Stdout, os.Stderr))
}
