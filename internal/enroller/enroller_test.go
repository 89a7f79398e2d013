package enroller

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestSeedsBootstrapFirstConfiguration guards against seeds that start with different
// voters or identities.
func TestSeedsBootstrapFirstConfiguration(t *testing.T) {
	seeds := []string{"10.1.0.1:7", "10.2.0.1:7", "10.3.0.1:7"}
	identity, voters := BootstrapIdentity(BootstrapConfig{Address: seeds[1], Seeds: seeds, FirstStart: true, Nonce: "x"})
	assert.Equal(t, identity, "founder@10.2.0.1:7")
	assert.DeepEqual(t, voters, []string{"founder@10.1.0.1:7", "founder@10.2.0.1:7", "founder@10.3.0.1:7"})
}

// TestEmptyDiskNeverReusesIdentity guards against a process that lost its disk voting
// a second time under its previous identity.
func TestEmptyDiskNeverReusesIdentity(t *testing.T) {
	seeds := []string{"10.1.0.1:7"}
	for _, cfg := range []BootstrapConfig{
		{Address: "10.1.0.1:7", Seeds: seeds, FirstStart: false, Nonce: "x"},
		{Address: "10.9.0.1:7", Seeds: seeds, FirstStart: true, Nonce: "x"},
	} {
		identity, voters := BootstrapIdentity(cfg)
		assert.Equal(t, identity, "x@"+cfg.Address)
		assert.Equal(t, len(voters), 0)
	}
}

// TestNextChange guards against changes that lose a responsive quorum or exceed what
// the membership needs.
func TestNextChange(t *testing.T) {
	threeVoters := []string{"a@1", "b@2", "c@3"}
	for name, c := range map[string]struct {
		view   View
		change Change
		due    bool
	}{
		"no change due":                        {View{Self: "a@1", Voters: threeVoters, MinVoters: 3}, Change{}, false},
		"new instance":                         {View{Self: "a@1", Voters: threeVoters, Joiners: []string{"d@4"}, MinVoters: 3}, Change{Add: "d@4"}, true},
		"wiped disk, old identity is removed":  {View{Self: "a@1", Voters: threeVoters, Joiners: []string{"x@3"}, Unresponsive: map[string]bool{"c@3": true}, MinVoters: 3}, Change{Remove: "c@3"}, true},
		"which of two at an address is later":  {View{Self: "a@1", Voters: threeVoters, Joiners: []string{"x@3"}, MinVoters: 3}, Change{}, false},
		"a joiner that waits holds up nobody":  {View{Self: "a@1", Voters: threeVoters, Joiners: []string{"x@3", "d@4"}, MinVoters: 3}, Change{Add: "d@4"}, true},
		"a lost disk before a refused address": {View{Self: "a@1", Voters: append(slices.Clone(threeVoters), "d@4", "e@5"), Unresponsive: map[string]bool{"b@2": true, "c@3": true}, Refused: map[string]bool{"b@2": true}, Replaced: map[string]bool{"c@3": true}, MinVoters: 3}, Change{Remove: "c@3"}, true},
		"wiped disk, new identity is added":    {View{Self: "a@1", Voters: threeVoters[:2], Joiners: []string{"x@3"}, MinVoters: 3}, Change{Add: "x@3"}, true},
		"joiner replaces unresponsive voter":   {View{Self: "a@1", Voters: threeVoters, Joiners: []string{"d@4"}, Unresponsive: map[string]bool{"c@3": true}, MinVoters: 3}, Change{Remove: "c@3"}, true},
		"unresponsive above the minimum":       {View{Self: "a@1", Voters: append(slices.Clone(threeVoters), "d@4"), Unresponsive: map[string]bool{"b@2": true}, MinVoters: 3}, Change{Remove: "b@2"}, true},
		"unresponsive at the minimum":          {View{Self: "a@1", Voters: threeVoters, Unresponsive: map[string]bool{"b@2": true}, MinVoters: 3}, Change{}, false},
		"majority unresponsive":                {View{Self: "a@1", Voters: append(slices.Clone(threeVoters), "d@4"), Unresponsive: map[string]bool{"b@2": true, "c@3": true, "d@4": true}, MinVoters: 3}, Change{}, false},
		"joiner is a voter already":            {View{Self: "a@1", Voters: threeVoters, Joiners: []string{"b@2"}, MinVoters: 3}, Change{}, false},
		"leader never removes itself":          {View{Self: "a@1", Voters: append(slices.Clone(threeVoters), "d@4"), Unresponsive: map[string]bool{"a@1": true}, MinVoters: 3}, Change{}, false},
	} {
		change, due := NextChange(c.view)
		assert.Equal(t, due, c.due, name)
		assert.Equal(t, change, c.change, name)
	}
}

// TestStoppingVoterLeavesOnlyIfItIsSpare guards against a stopped voter that still counts
// for the quorum, and against a planned stop that leaves fewer voters than the losses need.
func TestStoppingVoterLeavesOnlyIfItIsSpare(t *testing.T) {
	fourVoters := []string{"a@1", "b@2", "c@3", "d@4"}
	for name, c := range map[string]struct {
		view     View
		stopping string
		due      bool
	}{
		"spare voter":                      {View{Self: "a@1", Voters: fourVoters, MinVoters: 3}, "c@3", true},
		"spare leader":                     {View{Self: "a@1", Voters: fourVoters, MinVoters: 3}, "a@1", true},
		"one of the others is lost":        {View{Self: "a@1", Voters: fourVoters, Unresponsive: map[string]bool{"b@2": true}, MinVoters: 3}, "c@3", true},
		"voter at the minimum":             {View{Self: "a@1", Voters: fourVoters[:3], MinVoters: 3}, "c@3", false},
		"no voter":                         {View{Self: "a@1", Voters: fourVoters, MinVoters: 3}, "e@5", false},
		"the others are no majority":       {View{Self: "a@1", Voters: fourVoters, Unresponsive: map[string]bool{"b@2": true, "d@4": true}, MinVoters: 3}, "c@3", false},
		"the leader counts itself as live": {View{Self: "a@1", Voters: fourVoters, Unresponsive: map[string]bool{"a@1": true, "d@4": true}, MinVoters: 3}, "c@3", true},
	} {
		change, due := Departure(c.view, c.stopping)
		assert.Equal(t, due, c.due, name)
		if due {
			assert.Equal(t, change, Change{Remove: c.stopping}, name)
		}
	}
}

// TestMembershipHistories guards against lost quorums and stale voters. It wipes
// disks, replaces instances, adds instances and stops them as planned at random; a disk
// may be lost right after such a stop. The voters that run must always be a majority. At
// no time may there be fewer than two voters (MinVoters less the one being replaced), and
// afterwards the voters must be exactly the running instances, so never two with one
// address.
func TestMembershipHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		voters := []string{"f@0", "f@1", "f@2"}
		alive := map[string]string{"0": "f@0", "1": "f@1", "2": "f@2"} // alive maps the address of each running instance to the identity on its disk.
		nextInstance := 3
		applyChanges := func() {
			for range 40 {
				view := View{Voters: voters, Unresponsive: map[string]bool{}, MinVoters: 3}
				for _, identity := range alive {
					if !slices.Contains(voters, identity) {
						view.Joiners = append(view.Joiners, identity)
					} else if view.Self == "" || identity < view.Self {
						view.Self = identity
					}
				}
				slices.Sort(view.Joiners)
				for _, voter := range voters {
					view.Unresponsive[voter] = alive[AddressOf(voter)] != voter
				}
				change, due := NextChange(view)
				if !due {
					break
				}
				voters = slices.DeleteFunc(slices.Clone(voters), func(v string) bool { return v == change.Remove })
				if change.Add != "" {
					voters = append(voters, change.Add)
				}
				if len(voters) < 2 {
					t.Fatalf("too few voters: %v", voters)
				}
			}
		}
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			address := rapid.SampledFrom(slices.Sorted(addresses(alive))).Draw(t, "address")
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				alive[address] = fmt.Sprintf("w%d@%s", nextInstance, address)
			case 1:
				delete(alive, address)
				alive[fmt.Sprint(nextInstance)] = fmt.Sprintf("n@%d", nextInstance)
			case 2:
				if len(alive) < 8 {
					alive[fmt.Sprint(nextInstance)] = fmt.Sprintf("n@%d", nextInstance)
				}
			case 3:
				if len(alive) <= 3 {
					break
				}
				change, due := Departure(View{Self: voters[0], Voters: voters, MinVoters: 3}, alive[address])
				if !due {
					t.Fatalf("%s must remain a voter of %v", alive[address], voters)
				}
				voters = slices.DeleteFunc(slices.Clone(voters), func(v string) bool { return v == change.Remove })
				delete(alive, address)
				wiped := rapid.SampledFrom(slices.Sorted(addresses(alive))).Draw(t, "wiped")
				alive[wiped] = fmt.Sprintf("w%d@%s", nextInstance, wiped)
			}
			nextInstance++
			live := 0
			for _, voter := range voters {
				if alive[AddressOf(voter)] == voter {
					live++
				}
			}
			if live <= len(voters)/2 {
				t.Fatalf("%d of the voters %v run, no majority", live, voters)
			}
			applyChanges()
			var running []string
			for _, identity := range alive {
				running = append(running, identity)
			}
			slices.Sort(running)
			sortedVoters := slices.Sorted(slices.Values(voters))
			if !slices.Equal(running, sortedVoters) {
				t.Fatalf("running instances %v, voters %v", running, sortedVoters)
			}
		}
	})
}

// addresses iterates over the keys of m.
func addresses(m map[string]string) func(yield func(string) bool) {
	return func(yield func(string) bool) {
		for address := range m {
			if !yield(address) {
				return
			}
		}
	}
}
