// Command driver-2 runs one case of the second review: driver2 CASE RECORD. It exits with 1
// if the rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

var cases = map[string]struct {
	zones []string
	run   func(l *lab) (broken bool, err error)
}{
	"deadly-stream":    {[]string{"a", "b", "c"}, deadlyStream},
	"stepped-clock":    {[]string{"a", "b", "c"}, steppedClock},
	"slow-body":        {[]string{"a", "b", "c"}, slowBody},
	"unsettled-leader": {[]string{"a", "b", "c"}, unsettledLeader},
	"removed-leader":   {[]string{"a", "b", "c"}, removedLeader},
	"late-end":         {[]string{"a", "b", "c"}, lateEnd},
	"thawed-entry":     {[]string{"a", "b", "c"}, thawedEntry},
	"foreign-head":     {[]string{"a", "b", "c"}, foreignHead},
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: driver2 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, record string) int {
	c, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return 2
	}
	l, err := newLab(record, c.zones)
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
	broken, err := c.run(l)
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
