// Package enroller decides the membership of control: which process founds the
// first configuration, which ones are added as voters, and which are removed.
//
// # Usage
//
//	identity, voters := enroller.BootstrapIdentity(enroller.BootstrapConfig{Address: own, Seeds: seeds, FirstStart: true})
//	step, ok := enroller.NextChange(enroller.View{Voters: voters, Joiners: joiners, Unresponsive: silent, MinVoters: 3})
//
// An identity names one life of one disk: a process with an empty disk always
// gets a new one, but at the very first start, when nobody can have heard of
// it, and so no disk votes again under the name whose votes it has lost.
package enroller

import (
	"slices"
	"strings"
)

// founder begins the identities of the first voters.
const founder = "founder"

// BootstrapConfig is what a process with an empty disk knows.
type BootstrapConfig struct {
	Address    string   // Address is its own inner address.
	Seeds      []string // Seeds are the inner addresses of the seeds.
	FirstStart bool     // FirstStart tells that the whole system starts for the first time.
	Nonce      string   // Nonce is a random word for a new identity.
}

// BootstrapIdentity returns the identity of a process with an empty disk and the voters of
// its first configuration, none where it must ask to join.
func BootstrapIdentity(p BootstrapConfig) (identity string, voters []string) {
	if !p.FirstStart || !slices.Contains(p.Seeds, p.Address) {
		return p.Nonce + "@" + p.Address, nil
	}
	for _, seed := range p.Seeds {
		voters = append(voters, founder+"@"+seed)
	}
	slices.Sort(voters)
	return founder + "@" + p.Address, slices.Compact(voters)
}

// AddressOf returns the address within an identity.
func AddressOf(replica string) string {
	_, address, _ := strings.Cut(replica, "@")
	return address
}

// View is what the leader knows when it weighs a change.
type View struct {
	Self         string
	Voters       []string
	Joiners      []string        // Joiners ask to become voters, the oldest request first.
	Unresponsive map[string]bool // Unresponsive voters were not heard for a while.
	MinVoters    int             // MinVoters is the least number of voters that bears the losses.
}

// Change is one change by one voter.
type Change struct {
	Add    string
	Remove string
}

// NextChange returns the next change, and false where none is due.
func NextChange(v View) (Change, bool) {
	for _, joiner := range v.Joiners {
		if slices.Contains(v.Voters, joiner) {
			continue
		}
		return v.join(joiner), true
	}
	if len(v.Voters) > v.MinVoters {
		if old, ok := v.silentVoter(); ok {
			return Change{Remove: old}, true
		}
	}
	return Change{}, false
}

// join removes a voter that the joiner replaces before it adds the joiner, so
// that the quorum never counts a disk that is gone.
func (v View) join(joiner string) Change {
	for _, voter := range v.Voters {
		if AddressOf(voter) == AddressOf(joiner) {
			return Change{Remove: voter}
		}
	}
	if len(v.Voters) >= v.MinVoters {
		if old, ok := v.silentVoter(); ok {
			return Change{Remove: old}
		}
	}
	return Change{Add: joiner}
}

// silentVoter returns a voter to remove while a majority of the rest is heard.
func (v View) silentVoter() (string, bool) {
	silent := 0
	first := ""
	for _, voter := range v.Voters {
		if voter == v.Self || !v.Unresponsive[voter] {
			continue
		}
		silent++
		if first == "" {
			first = voter
		}
	}
	rest := len(v.Voters) - 1
	heard := len(v.Voters) - silent
	return first, silent > 0 && heard > rest/2
}
