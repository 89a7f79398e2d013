// Package explainer finds in the logs of all processes what one request met,
// and orders it as a timeline.
//
// # Usage
//
//	e := explainer.New("9c41d07be2a35f68")
//	err := e.Read("entry-1.log", file)
//	fmt.Print(e.Timeline())
//
// Lines are key=value pairs as the processes write them. A line belongs to the
// request when it names it, or tells of a group or an endpoint that the
// request was sent to, while it was under way. Clocks of processes may differ:
// lines of one process keep their order, and the times are each process's own.
package explainer

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

const (
	// before is how long before the request's first line other lines count.
	before = 5 * time.Second
	// after bounds what may follow it, given clocks that differ.
	after = time.Second
	// maxLine bounds one line.
	maxLine = 1 << 20
)

// requestFields name a request.
var requestFields = []string{"attempt", "request"}

// line is one parsed line of a log.
type line struct {
	source string
	at     time.Time
	fields map[string]string
	text   string
}

// Explainer collects lines.
type Explainer struct {
	id    string
	lines []line
}

// New returns an explainer of one request.
func New(id string) *Explainer { return &Explainer{id: id} }

// Read takes the lines of one log; lines that are not key=value pairs are
// passed over.
func (e *Explainer) Read(source string, r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		if parsed, ok := parse(source, scanner.Text()); ok {
			e.lines = append(e.lines, parsed)
		}
	}
	return scanner.Err()
}

func parse(source, text string) (line, bool) {
	l := line{source: source, fields: map[string]string{}}
	start := strings.Index(text, "time=")
	if start < 0 {
		return l, false
	}
	l.text = text[start:]
	decoder := logfmt.NewDecoder(strings.NewReader(l.text))
	if !decoder.ScanRecord() {
		return l, false
	}
	for decoder.ScanKeyval() {
		l.fields[string(decoder.Key())] = string(decoder.Value())
	}
	var err error
	l.at, err = time.Parse(time.RFC3339, l.fields["time"])
	return l, err == nil
}

func (e *Explainer) names(l line) bool {
	return slices.ContainsFunc(requestFields, func(field string) bool { return l.fields[field] == e.id })
}

// Timeline returns what the request met, the oldest line first, or a line that
// says that no log names it.
func (e *Explainer) Timeline() string {
	own := slices.DeleteFunc(slices.Clone(e.lines), func(l line) bool { return !e.names(l) })
	if len(own) == 0 {
		return fmt.Sprintf("no line names %s; read the logs of all entries, and check the id\n", e.id)
	}
	first, last, subjects := e.scope(own)
	var told []line
	for _, l := range e.lines {
		about := subjects[l.fields["group"]] || subjects[l.fields["name"]] || subjects[l.fields["endpoint"]] || subjects[l.fields["id"]]
		during := l.at.After(first.Add(-before)) && l.at.Before(last.Add(after))
		other := slices.ContainsFunc(requestFields, func(field string) bool { return l.fields[field] != "" && l.fields[field] != e.id })
		if e.names(l) || (about && during && !other) {
			told = append(told, l)
		}
	}
	slices.SortStableFunc(told, func(a, b line) int { return a.at.Compare(b.at) })
	var b strings.Builder
	for _, l := range told {
		fmt.Fprintf(&b, "%+9.3fs %s %s\n", l.at.Sub(first).Seconds(), l.source, shown(l.text))
	}
	return b.String()
}

// scope returns the time that the request was under way and what it was sent
// to. A line of its end tells how long it took.
func (e *Explainer) scope(own []line) (first, last time.Time, subjects map[string]bool) {
	subjects = map[string]bool{}
	first, last = own[0].at, own[0].at
	for _, l := range own {
		begin := l.at
		if took, err := time.ParseDuration(l.fields["total-ms"] + "ms"); err == nil {
			begin = begin.Add(-took)
		}
		if begin.Before(first) {
			first = begin
		}
		if l.at.After(last) {
			last = l.at
		}
		for _, field := range []string{"endpoint", "group"} {
			if l.fields[field] != "" {
				subjects[l.fields[field]] = true
			}
		}
	}
	return first, last, subjects
}

// shown is a line without its time, which the timeline gives.
func shown(text string) string {
	_, rest, _ := strings.Cut(text, " ")
	return rest
}
