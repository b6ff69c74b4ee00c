// Command catkinpoint is every process of the scheduler.
package main

import (
	"os"

	"catkinpoint/verbs"
)

func main() {
	os.Exit(verbs.Main(os.Args[1:], os.Stdout, os.Stderr))
}
