// Package enroller decides the membership of control: which process founds the
// first configuration, which ones are added as voters, and which are removed.
//
// # Usage
//
//	identity, voters := enroller.Found(enroller.Place{Address: own, Seeds: seeds, First: true})
//	step, ok := enroller.Next(enroller.View{Voters: voters, Joiners: joiners, Silent: silent, Floor: 3})
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

// Place is what a process with an empty disk knows.
type Place struct {
	Address string   // Address is its own inner address.
	Seeds   []string // Seeds are the inner addresses of the seeds.
	First   bool     // First tells that the whole system starts for the first time.
	Fresh   string   // Fresh is a random word for a new identity.
}

// Found returns the identity of a process with an empty disk and the voters of
// its first configuration, none where it must ask to join.
func Found(p Place) (identity string, voters []string) {
	if !p.First || !slices.Contains(p.Seeds, p.Address) {
		return p.Fresh + "@" + p.Address, nil
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
	Self    string
	Voters  []string
	Joiners []string        // Joiners ask to become voters, the oldest request first.
	Silent  map[string]bool // Silent voters were not heard for a while.
	Floor   int             // Floor is the least number of voters that bears the losses.
}

// Step is one change by one voter.
type Step struct {
	Add    string
	Remove string
}

// Next returns the next change, and false where none is due.
func Next(v View) (Step, bool) {
	for _, joiner := range v.Joiners {
		if slices.Contains(v.Voters, joiner) {
			continue
		}
		return v.join(joiner), true
	}
	if len(v.Voters) > v.Floor {
		if old, ok := v.silentVoter(); ok {
			return Step{Remove: old}, true
		}
	}
	return Step{}, false
}

// join removes a voter that the joiner replaces before it adds the joiner, so
// that the quorum never counts a disk that is gone.
func (v View) join(joiner string) Step {
	for _, voter := range v.Voters {
		if AddressOf(voter) == AddressOf(joiner) {
			return Step{Remove: voter}
		}
	}
	if len(v.Voters) >= v.Floor {
		if old, ok := v.silentVoter(); ok {
			return Step{Remove: old}
		}
	}
	return Step{Add: joiner}
}

// silentVoter returns a voter to remove while a majority of the rest is heard.
func (v View) silentVoter() (string, bool) {
	silent := 0
	first := ""
	for _, voter := range v.Voters {
		if voter == v.Self || !v.Silent[voter] {
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
