package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

// cases plays each case and reports what of the rule was broken, or "". The cases cancel,
// avail and kind are trials that REPORT-2.md names.
var cases = map[string]func(s *system, trouble bool) (broken string, err error){
	"oversize": playOversize,
	"deadly":   playDeadly,
	"gang":     playGang,
	"cancel":   playCancel,
	"avail":    playAvail,
	"unread":   playUnread,
	"kind":     playKind,
}

func main() {
	program := flag.String("program", "", "the program of the project")
	recordPath := flag.String("record", "record.txt", "file to write the record to")
	flag.Parse()
	os.Exit(play(flag.Arg(0), *program, *recordPath))
}

func play(name, program, recordPath string) int {
	playCase := cases[name]
	if playCase == nil || program == "" {
		fmt.Fprintln(os.Stderr, "usage: stand2 -program PROGRAM [-record FILE] CASE")
		return exitUnable
	}
	log, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	trouble := os.Getenv("TROUBLE") != "0"
	log.add("case %s, with the disruption: %v", name, trouble)
	s, err := createSystem(program, log)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	defer s.stop()
	// From before the first process starts, a signal ends all of them.
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-interrupted
		s.stop()
		os.Exit(exitUnable)
	}()
	broken := ""
	if err = s.run(resources{CPU: 64000, Mem: 256000, GPU: 8}); err == nil {
		broken, err = playCase(s, trouble)
	}
	switch {
	case err != nil:
		log.add("the case could not be played: %v", err)
		fmt.Println("unable:", err)
		return exitUnable
	case broken != "":
		log.add("BROKEN %s", broken)
		fmt.Println("broken:", broken)
		return exitBroken
	}
	log.add("the rule held")
	fmt.Println("held")
	return exitHeld
}
