package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases maps names to cases; each reports whether the rule was broken.
var cases = map[string]func(rec *record, trouble bool) (bool, error){
	"keys":      lastKeys,
	"departure": departure,
	"replaced":  replaced,
	"redirect":  redirected,
	"limitless": limitless,
}

// limit is the longest that a case may take.
const limit = 115 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("name one of the cases, and the file for its record")
		os.Exit(2)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	go endEarly(rec)
	broken, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.add("could not run: %v", err)
		os.Exit(2)
	case broken:
		rec.add("the rule was broken")
		os.Exit(1)
	}
	rec.add("the rule held")
}

// endEarly ends the case, and all that it started, at a signal or when its time is over.
func endEarly(rec *record) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(limit):
	}
	if d := current.Load(); d != nil {
		d.end()
	}
	rec.add("could not run to its end")
	os.Exit(2)
}
