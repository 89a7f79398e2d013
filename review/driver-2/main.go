// Command driver-2 runs one case of the second review: review-driver-2 CASE RECORD. It exits with 1
// if the rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases are those of the folders 8 and 10, and six that REPORT-2.md tells of without a folder.
var cases = map[string]func(l *lab) (broken bool, err error){
	"deadly-stream":    deadlyStream,
	"stepped-clock":    steppedClock,
	"slow-body":        slowBody,
	"unsettled-leader": unsettledLeader,
	"removed-leader":   removedLeader,
	"late-end":         lateEnd,
	"thawed-entry":     thawedEntry,
	"foreign-head":     foreignHead,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-driver-2 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, record string) int {
	runCase, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return 2
	}
	l, err := newLab(record, []string{"a", "b", "c"})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer l.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		l.stop()
		os.Exit(2)
	}()
	broken, err := runCase(l)
	switch {
	case err != nil:
		l.note("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case broken:
		l.note("RESULT: the rule was broken")
		fmt.Println("broken")
		return 1
	}
	l.note("RESULT: the rule held")
	fmt.Println("held")
	return 0
}
