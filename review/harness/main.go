// Command harness plays the cases of the review: it starts the project's programs as
// processes, with stand-ins of the platform, its workers and its consumers in this
// process. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
// not run. It runs in the root of the repository.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxRunTime bounds one run of a case.
const maxRunTime = 110 * time.Second

// cases have the number of workers and the body of each case, which reports whether the
// rule was broken. Without trouble it leaves out the disruption.
var cases = map[string]struct {
	workers int
	play    func(s *system, trouble bool) (broken bool, err error)
}{
	"shed-stop":       {11, shedStop},
	"cancel-handover": {3, cancelHandover},
	"foreign-beat":    {3, foreignBeat},
	"pending":         {11, pendingCount},
	"lasting":         {4, lastingTasks},
	"shed-cancel":     {3, shedCancel},
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]].play == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func play(name, path string, trouble bool) int {
	rec, err := newRecorder(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	type outcome struct {
		broken bool
		err    error
	}
	result := make(chan outcome, 1)
	s, err := newSystem(rec, 3, cases[name].workers)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		result <- outcome{err: err}
	} else {
		go func() {
			if err := s.warmUp(); err != nil {
				result <- outcome{err: err}
				return
			}
			broken, err := cases[name].play(s, trouble)
			result <- outcome{broken, err}
		}()
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	out := outcome{err: fmt.Errorf("not over within %v", maxRunTime)}
	select {
	case out = <-result:
	case <-signals:
		out.err = fmt.Errorf("interrupted")
	case <-time.After(maxRunTime):
	}
	switch {
	case out.err != nil:
		rec.log("result: could not run: %v", out.err)
		fmt.Println(name, "could not run:", out.err)
		return 2
	case out.broken:
		rec.log("result: rule broken")
		fmt.Println(name, "rule broken")
		return 1
	}
	rec.log("result: rule held")
	fmt.Println(name, "rule held")
	return 0
}
