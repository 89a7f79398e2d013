package declarer

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"papayaseam/internal/messenger"
	"papayaseam/internal/recorder"
	"papayaseam/internal/registrar"
)

const (
	maxMembers    = 64
	maxGroups     = 10_000
	maxParallel   = 100_000
	maxWeight     = 1_000
	maxPriority   = 9
	maxLoadMs     = 3_600_000
	digestLetters = 64
)

// ReadTicket reads and checks a ticket file.
func ReadTicket(name string) (messenger.Ticket, error) {
	f, err := Open(name)
	if err != nil {
		return messenger.Ticket{}, err
	}
	return f.Ticket()
}

// Ticket returns the file's content as a ticket.
func (f *File) Ticket() (messenger.Ticket, error) {
	ticket := messenger.Ticket{
		Number: f.Int("ticket", "number", 0, 1, math.MaxInt32),
		Author: f.Needed("ticket", "author"),
		Reason: f.Needed("ticket", "reason"),
	}
	for _, section := range f.Sections() {
		if section == "ticket" {
			continue
		}
		object, ok := f.object(section)
		if ok {
			ticket.Objects = append(ticket.Objects, object)
		}
	}
	if len(ticket.Objects) == 0 {
		f.Fail("ticket", "", "the ticket touches nothing; add a section such as [model NAME]")
	}
	return ticket, f.Err(f.Sections()...)
}

// object reads one object's whole new state from its section.
func (f *File) object(section string) (messenger.Object, bool) {
	words := strings.Fields(section)
	removed := len(words) == 3 && words[0] == "remove"
	if removed {
		words = words[1:]
	}
	if len(words) != 2 {
		f.Fail(section, "", "[%s] is no object; write [model NAME], [service NAME], [organisation NAME], [objective NAME] or [remove KIND NAME]", section)
		return messenger.Object{}, false
	}
	object := messenger.Object{Kind: words[0], Name: words[1], Removed: removed}
	if removed {
		return object, true
	}
	switch object.Kind {
	case registrar.KindModel:
		object.Model = f.model(section)
	case registrar.KindService:
		object.Service = f.service(section)
	case registrar.KindOrganisation:
		object.Organisation = f.organisation(section)
	case registrar.KindObjective:
		object.Objective = f.objective(section)
	default:
		f.Fail(section, "", "no kind %q; use model, service, organisation or objective", object.Kind)
		return object, false
	}
	return object, true
}

func (f *File) model(section string) *messenger.ModelSpec {
	return &messenger.ModelSpec{
		Version: f.Needed(section, "version"), Adapters: f.List(section, "adapters"),
		Members: f.Int(section, "members", 1, 1, maxMembers), Groups: f.Int(section, "groups", 1, 0, maxGroups),
		Parallel: f.Int(section, "parallel", 16, 1, maxParallel), Priority: f.Int(section, "priority", 0, 0, maxPriority),
		LoadMs: f.Int(section, "load-ms", 30_000, 0, maxLoadMs),
	}
}

func (f *File) service(section string) *messenger.ServiceSpec {
	return &messenger.ServiceSpec{
		Parallel: f.Int(section, "parallel", 16, 1, maxParallel), Repeatable: f.Bool(section, "repeatable", false),
	}
}

func (f *File) organisation(section string) *messenger.OrganisationSpec {
	spec := &messenger.OrganisationSpec{
		Weight: f.Int(section, "weight", 1, 1, maxWeight), Parallel: f.Int(section, "parallel", 0, 0, maxParallel),
		Keys: f.List(section, "keys-sha256"),
	}
	for _, key := range spec.Keys {
		if len(key) != digestLetters || strings.Trim(strings.ToLower(key), "0123456789abcdef") != "" {
			f.Fail(section, "keys-sha256", "a key is given by its SHA-256 in hexadecimal, 64 characters; print it with 'papayaseam ticket key KEY'")
		}
	}
	return spec
}

func (f *File) objective(section string) *messenger.ObjectiveSpec {
	measure := f.Text(section, "measure", recorder.MeasureRequests)
	if !slices.Contains([]string{recorder.MeasureRequests, recorder.MeasureDowntime, recorder.MeasureStranded}, measure) {
		f.Fail(section, "measure", "no measure %q; use requests, group-downtime or stranded", measure)
	}
	return &messenger.ObjectiveSpec{
		Measure: measure, Target: f.Needed(section, "target"), Organisation: f.Text(section, "organisation", ""),
		PromisedMs: f.Int(section, "promised-ms", 0, 0, maxLoadMs), Percent: f.Number(section, "percent", 99, 50, 99.999),
	}
}

// WriteObject returns an object in the form of a ticket's section, so that two
// states can be compared line by line.
func WriteObject(object messenger.Object) string {
	var b strings.Builder
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(&b, format+"\n", args...) }
	switch {
	case object.Removed:
		line("[remove %s %s]", object.Kind, object.Name)
	case object.Model != nil:
		line("[model %s]\nversion = %s\nadapters = %s\nmembers = %d\ngroups = %d\nparallel = %d\npriority = %d\nload-ms = %d", object.Name,
			object.Model.Version, strings.Join(object.Model.Adapters, ", "), object.Model.Members, object.Model.Groups,
			object.Model.Parallel, object.Model.Priority, object.Model.LoadMs)
	case object.Service != nil:
		line("[service %s]\nparallel = %d\nrepeatable = %t", object.Name, object.Service.Parallel, object.Service.Repeatable)
	case object.Organisation != nil:
		line("[organisation %s]\nweight = %d\nparallel = %d\nkeys-sha256 = %s", object.Name, object.Organisation.Weight,
			object.Organisation.Parallel, strings.Join(object.Organisation.Keys, ", "))
	case object.Objective != nil:
		line("[objective %s]\nmeasure = %s\ntarget = %s\norganisation = %s\npromised-ms = %d\npercent = %g", object.Name, object.Objective.Measure, object.Objective.Target,
			object.Objective.Organisation, object.Objective.PromisedMs, object.Objective.Percent)
	}
	return b.String()
}

// Diff returns the lines that a ticket takes away and adds, with a sign before
// each, for the objects it touches.
func Diff(current []messenger.Object, ticket messenger.Ticket) string {
	var b strings.Builder
	for _, next := range ticket.Objects {
		before := ""
		i := slices.IndexFunc(current, func(o messenger.Object) bool { return o.Kind == next.Kind && o.Name == next.Name })
		if i >= 0 {
			before = WriteObject(current[i])
		}
		diffLines(&b, before, WriteObject(next))
	}
	return b.String()
}

// diffLines compares two states whose keys come in the same order.
func diffLines(b *strings.Builder, before, after string) {
	old := strings.Split(strings.TrimSuffix(before, "\n"), "\n")
	now := strings.Split(strings.TrimSuffix(after, "\n"), "\n")
	for _, line := range old {
		if line != "" && !slices.Contains(now, line) {
			_, _ = fmt.Fprintf(b, "- %s\n", line)
		}
	}
	for _, line := range now {
		sign := "+"
		if slices.Contains(old, line) {
			sign = " "
		}
		_, _ = fmt.Fprintf(b, "%s %s\n", sign, line)
	}
}
