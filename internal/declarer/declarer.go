// Package declarer reads and writes tickets and settings as INI files, with the
// line of each mistake.
//
// # Usage
//
//	ticket, err := declarer.ReadTicket("tickets/0042.ini")
//	var problems declarer.Problems
//	if errors.As(err, &problems) { ... } // one line for each mistake
package declarer

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

// Problem is one mistake in a file.
type Problem struct {
	File    string
	Line    int
	Message string
}

// String returns the mistake in the form that editors understand.
func (p Problem) String() string { return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Message) }

// Problems are all mistakes of a file, in the order of their lines.
type Problems []Problem

// Error returns one line for each mistake.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// File is a parsed INI file that remembers its lines.
type File struct {
	name     string
	ini      *ini.File
	lines    map[string]int
	used     map[string]bool
	problems Problems
}

// Open reads a file.
func Open(name string) (*File, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, errors.Wrap(err, "read the file; check its path")
	}
	return Parse(name, data)
}

// Parse reads a file's content.
func Parse(name string, data []byte) (*File, error) {
	parsed, err := ini.LoadSources(ini.LoadOptions{AllowNonUniqueSections: false, SpaceBeforeInlineComment: true}, data)
	f := &File{name: name, ini: parsed, lines: map[string]int{}, used: map[string]bool{}}
	f.locate(data)
	if err != nil {
		return nil, Problems{{File: name, Line: f.badLine(data), Message: err.Error() + "; write 'key = value' lines under [section] lines"}}
	}
	return f, nil
}

// locate notes the line of each section and key.
func (f *File) locate(data []byte) {
	scanner := bufio.NewScanner(bytes.NewReader(data))
	section := ini.DefaultSection
	for n := 1; scanner.Scan(); n++ {
		line := strings.TrimSpace(scanner.Text())
		switch {
		case strings.HasPrefix(line, "[") && strings.Contains(line, "]"):
			section = strings.TrimSpace(line[1:strings.Index(line, "]")])
			f.note(section, "", n)
		case line == "" || line[0] == ';' || line[0] == '#':
		default:
			key, _, _ := strings.Cut(line, "=")
			f.note(section, strings.TrimSpace(key), n)
		}
	}
}

func (f *File) note(section, key string, line int) {
	at := section + "\x00" + key
	if first, twice := f.lines[at]; twice {
		f.problems = append(f.problems, Problem{f.name, line, fmt.Sprintf("%s stands at line %d already; state it once", strings.TrimSpace("["+section+"] "+key), first)})
		return
	}
	f.lines[at] = line
}

// badLine returns the first line that is neither section, key nor comment.
func (f *File) badLine(data []byte) int {
	for i, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.ContainsAny(line[:1], "[;#") || strings.Contains(line, "=") {
			continue
		}
		return i + 1
	}
	return 1
}

// Line returns the line of a key, or of a section where the key is empty.
func (f *File) Line(section, key string) int {
	if line, ok := f.lines[section+"\x00"+key]; ok {
		return line
	}
	return max(1, f.lines[section+"\x00"])
}

// Sections returns the names of all sections in the order of the file.
func (f *File) Sections() []string {
	names := slices.DeleteFunc(f.ini.SectionStrings(), func(name string) bool { return name == ini.DefaultSection })
	slices.SortStableFunc(names, func(a, b string) int { return f.Line(a, "") - f.Line(b, "") })
	return names
}

// Has reports whether a section stands in the file.
func (f *File) Has(section string) bool { return f.ini.HasSection(section) }

// Fail notes a mistake at a key.
func (f *File) Fail(section, key, format string, args ...any) {
	f.problems = append(f.problems, Problem{f.name, f.Line(section, key), fmt.Sprintf(format, args...)})
}

// Drop removes the keys whose values match, as if they were not set, and returns their
// names as [section] key in the order of the file.
func (f *File) Drop(matches func(value string) bool) []string {
	var dropped []string
	for _, section := range f.Sections() {
		for _, key := range f.ini.Section(section).Keys() {
			if matches(key.String()) {
				f.ini.Section(section).DeleteKey(key.Name())
				dropped = append(dropped, "["+section+"] "+key.Name())
			}
		}
	}
	return dropped
}

// Text returns a key's value, or the fallback where it is not set.
func (f *File) Text(section, key, fallback string) string {
	f.used[section+"\x00"+key] = true
	if !f.ini.HasSection(section) || !f.ini.Section(section).HasKey(key) {
		return fallback
	}
	return f.ini.Section(section).Key(key).String()
}

// Needed returns a key's value and notes a mistake where it is empty.
func (f *File) Needed(section, key string) string {
	value := f.Text(section, key, "")
	if value == "" {
		f.Fail(section, key, "[%s] needs %q; set it", section, key)
	}
	return value
}

// Int returns a whole number within bounds.
func (f *File) Int(section, key string, fallback, least, most int) int {
	text := f.Text(section, key, strconv.Itoa(fallback))
	n, err := strconv.Atoi(text)
	if err != nil || n < least || n > most {
		f.Fail(section, key, "%q must be a whole number from %d to %d, not %q", key, least, most, text)
		return fallback
	}
	return n
}

// Number returns a number within bounds.
func (f *File) Number(section, key string, fallback, least, most float64) float64 {
	text := f.Text(section, key, strconv.FormatFloat(fallback, 'g', -1, 64))
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || n < least || n > most {
		f.Fail(section, key, "%q must be a number from %g to %g, not %q", key, least, most, text)
		return fallback
	}
	return n
}

// Bool returns true or false.
func (f *File) Bool(section, key string, fallback bool) bool {
	text := f.Text(section, key, strconv.FormatBool(fallback))
	value, err := strconv.ParseBool(text)
	if err != nil {
		f.Fail(section, key, "%q must be true or false, not %q", key, text)
		return fallback
	}
	return value
}

// List returns a value's parts between commas.
func (f *File) List(section, key string) []string {
	var list []string
	for _, part := range strings.Split(f.Text(section, key, ""), ",") {
		if part = strings.TrimSpace(part); part != "" {
			list = append(list, part)
		}
	}
	return list
}

// Err notes every section and key that nothing asked for, and returns all
// mistakes.
func (f *File) Err(sections ...string) error {
	for _, section := range f.Sections() {
		if !slices.Contains(sections, section) {
			f.Fail(section, "", "no such section [%s]; known here are: %s", section, strings.Join(sections, ", "))
			continue
		}
		for _, key := range f.ini.Section(section).KeyStrings() {
			if !f.used[section+"\x00"+key] {
				f.Fail(section, key, "no such key %q in [%s]; %s", key, section, f.knownKeys(section))
			}
		}
	}
	for _, key := range f.ini.Section(ini.DefaultSection).KeyStrings() {
		f.Fail(ini.DefaultSection, key, "%q stands outside of any section; put it under one", key)
	}
	if len(f.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(f.problems, func(a, b Problem) int { return a.Line - b.Line })
	return f.problems
}

func (f *File) knownKeys(section string) string {
	var keys []string
	for at := range f.used {
		if key, ok := strings.CutPrefix(at, section+"\x00"); ok {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return "known are: " + strings.Join(keys, ", ")
}
