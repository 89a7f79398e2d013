// Command driver-3 plays three cases of the second review. It starts the project's own programs
// as separate processes on loopback addresses, with stand-ins of its own for servers and the
// operator, and writes a record of what was sent, answered and run.
//
//	review-driver-3 -case two -binary target/papayaseam -record record.txt -folder TEMPORARY
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// errBroken means that the rule of the case was broken.
var errBroken = errors.New("the rule was broken")

// recorder writes the record of a case.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(line)
}

// elapsed returns how long the case has run.
func (r *recorder) elapsed() time.Duration { return time.Since(r.started) }

// play holds what a case needs.
type play struct {
	*recorder
	binary, folder string
	trouble        bool
	mu             sync.Mutex
	stops          []func() // stops end what the case has started.
}

// atEnd registers what ends a part of the case.
func (p *play) atEnd(stop func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stops = append(p.stops, stop)
}

// end ends all that the case has started.
func (p *play) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, stop := range p.stops {
		stop()
	}
	p.stops = nil
}

// longest is how long a case may take.
const longest = 117 * time.Second

func main() {
	name := flag.String("case", "", "two, ghost or flap")
	binary := flag.String("binary", "target/papayaseam", "the program of the deploy file")
	record := flag.String("record", "record.txt", "where the record is written")
	folder := flag.String("folder", "", "a temporary folder")
	flag.Parse()
	os.Exit(run(*name, *binary, *record, *folder))
}

func run(name, binary, record, folder string) int {
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = file.Close() }()
	p := &play{
		recorder: &recorder{file: file, started: time.Now()},
		binary:   binary, folder: folder, trouble: os.Getenv("TROUBLE") != "0",
	}
	cases := map[string]func(*play) error{"two": playTwo, "ghost": playGhost, "flap": playFlap}
	c := cases[name]
	if c == nil {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return 2
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	done := make(chan error, 1)
	go func() { done <- c(p) }()
	select {
	case err = <-done:
	case <-signals:
		err = errors.New("ended by a signal")
	case <-time.After(longest):
		err = errors.New("it took too long")
	}
	p.end()
	switch {
	case err == nil:
		p.note("RESULT: the rule held")
		return 0
	case errors.Is(err, errBroken):
		p.note("RESULT: %v", err)
		return 1
	}
	p.note("RESULT: the case could not run: %v", err)
	return 2
}
