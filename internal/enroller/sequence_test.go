package enroller

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
)

// fleet is the control machines of an installation, by address, with the identity on each
// disk, and the voters.
type fleet struct {
	tolerated int // tolerated is the number of machines that may be lost at once.
	alive     map[string]string
	silent    map[string]bool // silent holds the addresses of machines that stand still for a while.
	voters    []string
	next      int
	steps     []string
	// losses and removals count those since the voters settled: lost machines, and machines
	// that were replaced and then taken away without notice, which are not among the former.
	losses, removals int
}

// newFleet returns an installation with as many founders as tolerate the losses.
func newFleet(tolerated int) fleet {
	f := fleet{tolerated: tolerated, alive: map[string]string{}, silent: map[string]bool{}}
	for f.next < 2*tolerated+1 {
		f.alive[fmt.Sprint(f.next)] = fmt.Sprint("f@", f.next)
		f.voters = append(f.voters, fmt.Sprint("f@", f.next))
		f.next++
	}
	return f
}

// after returns a copy of the fleet after a step.
func (f fleet) after(step string, change func(f *fleet)) fleet {
	g := f
	g.alive, g.silent, g.voters = maps.Clone(f.alive), maps.Clone(f.silent), slices.Clone(f.voters)
	g.next, g.steps = f.next+1, append(slices.Clone(f.steps), step)
	change(&g)
	return g
}

// runs reports whether a replica answers.
func (f *fleet) runs(replica string) bool {
	address := AddressOf(replica)
	return f.alive[address] == replica && !f.silent[address]
}

// replaced reports whether another replica answers at the address of one.
func (f *fleet) replaced(replica string) bool {
	successor, ok := f.alive[AddressOf(replica)]
	return ok && successor != replica && !f.silent[AddressOf(replica)]
}

// isQuorum reports whether the replicas that run are a quorum: a majority, or half of the
// voters beside a lost disk.
func (f *fleet) isQuorum(voters []string) bool {
	live := 0
	for _, voter := range voters {
		if f.runs(voter) {
			live++
		}
	}
	return 2*live > len(voters) || 2*live == len(voters) && slices.ContainsFunc(voters, f.replaced)
}

// settle ends the silences and makes all changes that are due, as a leader does in the
// declared time to catch up. It reports whether control is whole then.
func (f *fleet) settle() bool {
	clear(f.silent)
	f.losses, f.removals = 0, 0
	for range 30 {
		change, due := NextChange(f.view())
		if !due {
			return f.isQuorum(f.voters)
		}
		voters := f.apply(change)
		if !f.isQuorum(f.voters) || !f.isQuorum(voters) {
			return false
		}
		f.voters = voters
	}
	return false
}

// view returns what a leader knows of the voters.
func (f *fleet) view() View {
	view := View{Voters: f.voters, Unresponsive: map[string]bool{}, Replaced: map[string]bool{}, MinVoters: 2*f.tolerated + 1}
	for _, address := range slices.Sorted(addresses(f.alive)) {
		identity := f.alive[address]
		if !slices.Contains(f.voters, identity) {
			view.Joiners = append(view.Joiners, identity)
		} else if view.Self == "" {
			view.Self = identity
		}
	}
	for _, voter := range f.voters {
		view.Unresponsive[voter], view.Replaced[voter] = !f.runs(voter), f.replaced(voter)
	}
	return view
}

// apply returns the voters after a change.
func (f *fleet) apply(change Change) []string {
	voters := slices.DeleteFunc(slices.Clone(f.voters), func(v string) bool { return v == change.Remove })
	if change.Add != "" {
		voters = append(voters, change.Add)
	}
	return voters
}

// successors returns the fleets after each step that the declared losses allow. A machine
// that is removed doesn't count, since its successor has had its time; one of them at a time
// goes without notice before the voters have settled.
func (f fleet) successors(noticed bool) []fleet {
	var all []fleet
	founders := 2*f.tolerated + 1
	if len(f.alive) < founders+3 && f.losses+f.removals == 0 {
		all = append(all, f.after("start", func(g *fleet) { g.alive[fmt.Sprint(f.next)] = fmt.Sprint("n@", f.next) }))
	}
	for _, address := range slices.Sorted(addresses(f.alive)) {
		if f.silent[address] {
			continue
		}
		if len(f.alive) > founders {
			all = append(all, f.after("stop "+address, func(g *fleet) { g.stop(address) }))
			if !noticed && f.removals == 0 {
				all = append(all, f.after("take "+address, func(g *fleet) { delete(g.alive, address); g.removals++ }))
			}
		}
		if f.losses == f.tolerated {
			continue
		}
		all = append(all, f.after("empty "+address, func(g *fleet) {
			g.alive[address] = fmt.Sprintf("w%d@%s", f.next, address)
			g.losses++
		}), f.after("freeze "+address, func(g *fleet) { g.silent[address] = true; g.losses++ }))
	}
	return all
}

// stop ends a process as planned. It offers its vote to a leader first, if there is one, and
// counts itself until the change is committed.
func (f *fleet) stop(address string) {
	change, due := Departure(f.view(), f.alive[address])
	if due && f.isQuorum(f.voters) && f.isQuorum(f.apply(change)) {
		f.voters = f.apply(change)
	}
	delete(f.alive, address)
}

// walk plays all sequences of so many steps, each with the voters settled before it and,
// where the declared losses allow, not. It returns the sequences that end control for good.
func walk(f fleet, steps int, noticed bool) (lost []string) {
	settled := f.after("", func(*fleet) {})
	settled.steps = f.steps
	if !settled.settle() {
		return []string{strings.Join(f.steps, ", ")}
	}
	if steps == 0 {
		return nil
	}
	next := settled.successors(noticed)
	if f.losses+f.removals > 0 || len(f.steps) > 0 && strings.HasPrefix(f.steps[len(f.steps)-1], "stop") {
		next = append(next, f.successors(noticed)...)
	}
	for _, g := range next {
		lost = append(lost, walk(g, steps-1, noticed)...)
	}
	return lost
}

// TestPlannedStopsAndLossesInAnyOrderKeepAQuorum plays all sequences of five steps on three
// founders and of four on five: starts of successors, planned stops, several in a row, lost
// disks and machines that stand still, as many at a time as are declared. None may end
// control for good.
func TestPlannedStopsAndLossesInAnyOrderKeepAQuorum(t *testing.T) {
	for tolerated, steps := range map[int]int{1: 5, 2: 4} {
		if lost := walk(newFleet(tolerated), steps, true); len(lost) > 0 {
			t.Errorf("%d sequences end control of %d founders, the first: %s", len(lost), 2*tolerated+1, lost[0])
		}
	}
}

// TestRemovalsWithoutNoticeAndLossesInAnyOrderKeepAQuorum adds machines that are taken away
// without notice once their successors vote. It guards against four voters that bear less
// than the three before and after them.
func TestRemovalsWithoutNoticeAndLossesInAnyOrderKeepAQuorum(t *testing.T) {
	for tolerated, steps := range map[int]int{1: 4, 2: 4} {
		if lost := walk(newFleet(tolerated), steps, false); len(lost) > 0 {
			t.Errorf("%d sequences end control of %d founders, the first: %s", len(lost), 2*tolerated+1, lost[0])
		}
	}
}
