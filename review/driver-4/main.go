//go:build review

// Command driver-4 plays the scripts of the third review: it starts the project's own
// program as separate processes on loopback addresses, with stand-ins for servers, callers
// and the operator, and writes what was sent, answered and run to the record file.
//
// # Usage
//
//	driver-4 CASE PROGRAM RECORD
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could
// not run. With TROUBLE=0 in the environment it plays the same without the disruption.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// limit is below the time that a script may take.
const limit = 110 * time.Second

// play is a case. It reports whether the rule was broken.
type play func(l *lab, trouble bool) (bool, error)

var plays = map[string]play{
	"late-leave": lateLeave,
	"late-end":   lateEnd,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver-4 CASE PROGRAM RECORD")
		return couldNot
	}
	l, err := newLab(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, "driver-4:", err)
		return couldNot
	}
	defer l.close()
	trouble := os.Getenv("TROUBLE") != "0"
	type outcome struct {
		broke bool
		err   error
	}
	done := make(chan outcome, 1)
	go func() {
		broke, err := plays[os.Args[1]](l, trouble)
		done <- outcome{broke, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	var out outcome
	select {
	case out = <-done:
	case s := <-signals:
		out.err = errors.New("ended by " + s.String())
	case <-time.After(limit):
		out.err = errors.New("the case did not end in time")
	}
	switch {
	case out.err != nil:
		l.note("could not run: %v", out.err)
		return couldNot
	case out.broke:
		l.note("the rule was broken")
		return broken
	}
	l.note("the rule held")
	return held
}
