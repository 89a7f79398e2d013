package enroller

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestSeedsFoundTheFirstConfiguration(t *testing.T) {
	seeds := []string{"10.1.0.1:7", "10.2.0.1:7", "10.3.0.1:7"}
	identity, voters := BootstrapIdentity(BootstrapConfig{Address: seeds[1], Seeds: seeds, FirstStart: true, Nonce: "x"})
	assert.Equal(t, identity, "founder@10.2.0.1:7")
	assert.DeepEqual(t, voters, []string{"founder@10.1.0.1:7", "founder@10.2.0.1:7", "founder@10.3.0.1:7"})
}

func TestEmptyDiskNeverUsesAnEarlierName(t *testing.T) {
	seeds := []string{"10.1.0.1:7"}
	for _, place := range []BootstrapConfig{
		{Address: "10.1.0.1:7", Seeds: seeds, FirstStart: false, Nonce: "x"},
		{Address: "10.9.0.1:7", Seeds: seeds, FirstStart: true, Nonce: "x"},
	} {
		identity, voters := BootstrapIdentity(place)
		assert.Equal(t, identity, "x@"+place.Address)
		assert.Equal(t, len(voters), 0)
	}
}

func TestSteps(t *testing.T) {
	three := []string{"a@1", "b@2", "c@3"}
	for name, c := range map[string]struct {
		view View
		step Change
		due  bool
	}{
		"nothing to do":         {View{Self: "a@1", Voters: three, MinVoters: 3}, Change{}, false},
		"one more joins":        {View{Self: "a@1", Voters: three, Joiners: []string{"d@4"}, MinVoters: 3}, Change{Add: "d@4"}, true},
		"emptied disk":          {View{Self: "a@1", Voters: three, Joiners: []string{"x@3"}, MinVoters: 3}, Change{Remove: "c@3"}, true},
		"then it joins":         {View{Self: "a@1", Voters: three[:2], Joiners: []string{"x@3"}, MinVoters: 3}, Change{Add: "x@3"}, true},
		"a successor":           {View{Self: "a@1", Voters: three, Joiners: []string{"d@4"}, Unresponsive: map[string]bool{"c@3": true}, MinVoters: 3}, Change{Remove: "c@3"}, true},
		"silent above floor":    {View{Self: "a@1", Voters: append(slices.Clone(three), "d@4"), Unresponsive: map[string]bool{"b@2": true}, MinVoters: 3}, Change{Remove: "b@2"}, true},
		"silent at the floor":   {View{Self: "a@1", Voters: three, Unresponsive: map[string]bool{"b@2": true}, MinVoters: 3}, Change{}, false},
		"most are silent":       {View{Self: "a@1", Voters: append(slices.Clone(three), "d@4"), Unresponsive: map[string]bool{"b@2": true, "c@3": true, "d@4": true}, MinVoters: 3}, Change{}, false},
		"joined already":        {View{Self: "a@1", Voters: three, Joiners: []string{"b@2"}, MinVoters: 3}, Change{}, false},
		"leader is never asked": {View{Self: "a@1", Voters: append(slices.Clone(three), "d@4"), Unresponsive: map[string]bool{"a@1": true}, MinVoters: 3}, Change{}, false},
	} {
		step, due := NextChange(c.view)
		assert.Equal(t, due, c.due, name)
		assert.Equal(t, step, c.step, name)
	}
}

// TestMembershipHistories drives random losses of disks, machines that go for
// good and ones that come: the core keeps at least as many voters as bear the
// losses, less the one being replaced, never two of one address, and settles
// on exactly the machines that run.
func TestMembershipHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		voters := []string{"f@0", "f@1", "f@2"}
		alive := map[string]string{"0": "f@0", "1": "f@1", "2": "f@2"} // alive maps addresses to lives of disks.
		next := 3
		settle := func() {
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
				step, due := NextChange(view)
				if !due {
					break
				}
				voters = slices.DeleteFunc(slices.Clone(voters), func(v string) bool { return v == step.Remove })
				if step.Add != "" {
					voters = append(voters, step.Add)
				}
				if len(voters) < 2 {
					t.Fatalf("only %v vote", voters)
				}
			}
		}
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			address := rapid.SampledFrom(slices.Sorted(keys(alive))).Draw(t, "address")
			switch rapid.IntRange(0, 2).Draw(t, "action") {
			case 0:
				alive[address] = fmt.Sprintf("w%d@%s", next, address)
			case 1:
				delete(alive, address)
				alive[fmt.Sprint(next)] = fmt.Sprintf("n@%d", next)
			case 2:
				if len(alive) < 8 {
					alive[fmt.Sprint(next)] = fmt.Sprintf("n@%d", next)
				}
			}
			next++
			settle()
			var running []string
			for _, identity := range alive {
				running = append(running, identity)
			}
			slices.Sort(running)
			now := slices.Sorted(slices.Values(voters))
			if !slices.Equal(running, now) {
				t.Fatalf("running %v, voting %v", running, now)
			}
		}
	})
}

func keys(m map[string]string) func(yield func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}
