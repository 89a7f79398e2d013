package enroller

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// fleet is the control machines of an installation that bears one loss, by address, with
// the identity on each disk, and the voters.
type fleet struct {
	alive  map[string]string
	voters []string
	next   int
	steps  []string
}

func newFleet() fleet {
	return fleet{
		alive: map[string]string{"0": "f@0", "1": "f@1", "2": "f@2"}, voters: []string{"f@0", "f@1", "f@2"}, next: 3,
	}
}

// after returns a copy of the fleet after a step.
func (f fleet) after(step string, change func(f *fleet)) fleet {
	g := fleet{alive: map[string]string{}, voters: slices.Clone(f.voters), next: f.next + 1, steps: append(slices.Clone(f.steps), step)}
	for address, identity := range f.alive {
		g.alive[address] = identity
	}
	change(&g)
	return g
}

// hasQuorum reports whether the voters that run are a majority.
func (f *fleet) hasQuorum() bool {
	live := 0
	for _, voter := range f.voters {
		if f.alive[AddressOf(voter)] == voter {
			live++
		}
	}
	return live > len(f.voters)/2
}

// settle makes all changes that are due, as a leader does in the declared time to catch up.
func (f *fleet) settle(t *testing.T) {
	for range 20 {
		view := View{Voters: f.voters, Unresponsive: map[string]bool{}, MinVoters: 3}
		for _, address := range slices.Sorted(addresses(f.alive)) {
			identity := f.alive[address]
			if !slices.Contains(f.voters, identity) {
				view.Joiners = append(view.Joiners, identity)
			} else if view.Self == "" {
				view.Self = identity
			}
		}
		for _, voter := range f.voters {
			view.Unresponsive[voter] = f.alive[AddressOf(voter)] != voter
		}
		change, due := NextChange(view)
		if !due {
			return
		}
		f.voters = slices.DeleteFunc(slices.Clone(f.voters), func(v string) bool { return v == change.Remove })
		if change.Add != "" {
			f.voters = append(f.voters, change.Add)
		}
		if !f.hasQuorum() {
			t.Fatalf("a change of voters ends control: %s", strings.Join(f.steps, ", "))
		}
	}
	t.Fatalf("the voters never settle: %s", strings.Join(f.steps, ", "))
}

// steps returns the fleets after each step that the declared losses allow: a successor
// starts, a machine beyond three stops as planned, or a disk is lost. Only the last is a
// loss, so that a second one waits until the voters have settled.
func (f fleet) successors(notified bool) []fleet {
	var all []fleet
	if len(f.alive) < 6 {
		all = append(all, f.after("start", func(g *fleet) {
			address := fmt.Sprint(f.next)
			g.alive[address] = fmt.Sprintf("n@%s", address)
		}))
	}
	for _, address := range slices.Sorted(addresses(f.alive)) {
		if len(f.alive) > 3 {
			all = append(all, f.after("stop "+address, func(g *fleet) {
				change, due := Departure(View{Self: g.voters[0], Voters: g.voters, MinVoters: 3}, g.alive[address])
				if notified && due {
					g.voters = slices.DeleteFunc(g.voters, func(v string) bool { return v == change.Remove })
				}
				delete(g.alive, address)
			}))
		}
		all = append(all, f.after("empty "+address, func(g *fleet) { g.alive[address] = fmt.Sprintf("w%d@%s", f.next, address) }))
	}
	return all
}

// walk plays all sequences of so many steps. Voters settle before each step, but not
// between a stop and the loss that follows it. It returns the sequences that leave no
// quorum.
func walk(t *testing.T, f fleet, steps int, notified bool) (lost []string) {
	if !f.hasQuorum() {
		return []string{strings.Join(f.steps, ", ")}
	}
	if steps == 0 {
		return nil
	}
	last := ""
	if len(f.steps) > 0 {
		last = f.steps[len(f.steps)-1]
	}
	settled := f.after("", func(*fleet) {})
	settled.steps = settled.steps[:len(settled.steps)-1]
	settled.settle(t)
	for _, next := range settled.successors(notified) {
		lost = append(lost, walk(t, next, steps-1, notified)...)
	}
	if strings.HasPrefix(last, "stop") {
		for _, next := range f.successors(notified) {
			if !strings.HasPrefix(next.steps[len(next.steps)-1], "start") {
				lost = append(lost, walk(t, next, steps-1, notified)...)
			}
		}
	}
	return lost
}

const sequenceSteps = 5

// TestPlannedStopsAndLossesInAnyOrderKeepAQuorum plays all sequences of five steps on three
// founders: starts of successors, planned stops, several in a row, and lost disks, one at a
// time. None may leave the voters that run without a majority.
func TestPlannedStopsAndLossesInAnyOrderKeepAQuorum(t *testing.T) {
	lost := walk(t, newFleet(), sequenceSteps, true)
	if len(lost) > 0 {
		t.Fatalf("%d sequences leave no quorum, the first: %s", len(lost), lost[0])
	}
}

// TestStopsWithoutNoticeHaveALimit shows what no change of voters can bear: a machine that
// stops without a word counts until the first sign that it is gone, so that a second loss
// before it may leave no majority. kill_test.go plays both losses by the clock.
func TestStopsWithoutNoticeHaveALimit(t *testing.T) {
	lost := walk(t, newFleet(), 3, false)
	if !slices.Contains(lost, "start, stop 0, empty 1") {
		t.Fatalf("the sequence that ended control of old is borne now; the limit in the operators' pages is out of date: %v", lost)
	}
}
