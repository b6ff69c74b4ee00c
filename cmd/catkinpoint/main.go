// Command catkinpoint is every process of the scheduler.
package main

import (
	"context"
	"fmt"
	"os"

	"catkinpoint/local"
)

func main() {
	if err := local.Demo(context.Background(), os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
