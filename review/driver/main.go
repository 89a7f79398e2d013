package main

import (
	"errors"
	"fmt"
	"os"
)

// cases maps names to cases; each reports whether the rule was broken.
var cases = map[string]func(rec *record, trouble bool) (bool, error){
	"keys":      lastKeys,
	"departure": departure,
	"replaced":  replaced,
	"redirect":  redirected,
	"limitless": limitless,
}

func main() {
	run := cases[os.Args[1]]
	rec, err := newRecord("record.txt")
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	broken, err := run(rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.add("could not run: %v (%t)", err, errors.Is(err, errSetup))
		os.Exit(2)
	case broken:
		rec.add("the rule was broken")
		os.Exit(1)
	}
	rec.add("the rule held")
}
