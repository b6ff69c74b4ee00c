// Command stand3 runs one case of the review: the system's programs as processes, against
// stand-ins of the platform's store and workers, on loopback addresses and the real clock.
//
// It exits with 1 if the rule of the case was broken, with 0 if it held, and with 2 if the case
// could not run. The environment names the program (CATKINPOINT), the root of the repository
// (ROOT) and, with TROUBLE=0, leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"time"
)

// verdict is the outcome of a case.
type verdict int

const (
	held verdict = iota
	broken
	notRun
)

var cases = map[string]func(record *os.File, trouble bool) (verdict, error){
	"overdue": overdueJob,
	"tiny":    tinyTasks,
	"cancel":  lateSubmission,
	"same":    sameID,
	"removed": removedMachine,
	"crashed": crashedWorker,
	"stored":  storedJobs,
}

// maxTime bounds the time that a case takes.
const maxTime = 115 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE RECORD")
		os.Exit(int(notRun))
	}
	record, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(int(notRun))
	}
	// The processes of the case end with this one.
	time.AfterFunc(maxTime, func() {
		fmt.Fprintln(record, "not run: it takes longer than", maxTime)
		os.Exit(int(notRun))
	})
	result, err := cases[os.Args[1]](record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(record, "not run:", err)
		result = notRun
	}
	fmt.Fprintln(record, "exit", int(result))
	os.Exit(int(result))
}
