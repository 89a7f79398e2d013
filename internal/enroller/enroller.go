// Package enroller decides the voter membership of the control processes: which
// ones bootstrap the first configuration, which ones are added as voters, and
// which ones are removed.
//
// # Usage
//
//	identity, voters := enroller.BootstrapIdentity(enroller.BootstrapConfig{Address: own, Seeds: seeds, FirstStart: true})
//	change, due := enroller.NextChange(enroller.View{Voters: voters, Joiners: joiners, Unresponsive: unresponsive, MinVoters: 3})
//	change, due = enroller.Departure(view, stopping)
//
// A voter that has stopped still counts for the quorum. Beyond MinVoters it adds no
// tolerated loss, so it is removed as soon as it stops, or at the first sign that it is
// gone:
//
//	attendance := enroller.NewAttendance()
//	attendance.Update(enroller.RefusedMsg{Replica: voter})
//	view.Unresponsive[voter] = attendance.Gone(now, voter, len(voters) > view.MinVoters)
//
// An identity belongs to the contents of one disk. A process with an empty disk
// gets a new identity, so that it cannot vote again under an identity whose earlier
// votes were lost with the disk. The exception is the very first start of the
// system, when no earlier votes can exist.
package enroller

import (
	"slices"
	"strings"
)

// founderPrefix is the prefix of the identities of the first voters.
const founderPrefix = "founder"

// BootstrapConfig holds the configuration of a process with an empty disk.
type BootstrapConfig struct {
	Address    string   // Address is the process's own inner address.
	Seeds      []string // Seeds are the inner addresses of the seeds.
	FirstStart bool     // FirstStart is set when the whole system starts for the first time.
	Nonce      string   // Nonce is a random string that makes a new identity unique.
}

// BootstrapIdentity returns the identity of a process with an empty disk and the
// voters of its first configuration. No voters means that the process must ask the
// leader to join.
func BootstrapIdentity(cfg BootstrapConfig) (identity string, voters []string) {
	if !cfg.FirstStart || !slices.Contains(cfg.Seeds, cfg.Address) {
		return cfg.Nonce + "@" + cfg.Address, nil
	}
	for _, seed := range cfg.Seeds {
		voters = append(voters, founderPrefix+"@"+seed)
	}
	slices.Sort(voters)
	return founderPrefix + "@" + cfg.Address, slices.Compact(voters)
}

// AddressOf returns the address part of a replica identity, or "" if it has none.
func AddressOf(replica string) string {
	_, address, _ := strings.Cut(replica, "@")
	return address
}

// View is what the leader knows of the membership.
type View struct {
	Self         string
	Voters       []string
	Joiners      []string        // Joiners are the replicas that asked to become voters and keep the log, oldest request first.
	Unresponsive map[string]bool // Unresponsive holds the voters that the leader has not heard from within the timeout.
	Refused      map[string]bool // Refused holds the unresponsive voters at whose addresses no process listens.
	Replaced     map[string]bool // Replaced holds the unresponsive voters whose disks are lost.
	MinVoters    int             // MinVoters is the number of voters needed to tolerate the configured losses.
}

// Change adds or removes one voter. Changing one voter at a time keeps the quorums
// of successive configurations overlapping.
type Change struct {
	Add    string
	Remove string
}

// NextChange returns the next membership change, or false if none is due.
func NextChange(v View) (Change, bool) {
	for _, joiner := range v.Joiners {
		if slices.Contains(v.Voters, joiner) {
			continue
		}
		if change, due := v.join(joiner); due {
			return change, true
		}
	}
	if len(v.Voters) > v.MinVoters {
		if voter, ok := v.unresponsiveVoter(); ok {
			return Change{Remove: voter}, true
		}
	}
	return Change{}, false
}

// Departure returns the change that removes a voter that stops as planned, or false if it
// must remain: MinVoters are needed even while some are stopped, and a majority of the
// others must be responsive to commit the change.
func Departure(v View, stopping string) (Change, bool) {
	if len(v.Voters) <= v.MinVoters || !slices.Contains(v.Voters, stopping) {
		return Change{}, false
	}
	responsive := 0
	for _, voter := range v.Voters {
		if voter != stopping && (voter == v.Self || !v.Unresponsive[voter]) {
			responsive++
		}
	}
	remaining := len(v.Voters) - 1
	return Change{Remove: stopping}, responsive > remaining/2
}

// join returns the change that a joiner causes, or false if it has to wait. A voter that the
// joiner replaces is removed first, so that the quorum never counts a disk that is gone. Until
// that voter is known to be gone, it is not clear which of the two is the later one.
func (v View) join(joiner string) (Change, bool) {
	for _, voter := range v.Voters {
		if AddressOf(voter) == AddressOf(joiner) {
			return Change{Remove: voter}, v.Unresponsive[voter]
		}
	}
	if len(v.Voters) >= v.MinVoters {
		if voter, ok := v.unresponsiveVoter(); ok {
			return Change{Remove: voter}, true
		}
	}
	return Change{Add: joiner}, true
}

// unresponsiveVoter returns an unresponsive voter and whether it can be removed: a
// majority of the remaining voters must be responsive. One whose disk is lost comes first,
// then one that is known to have ended, since one that is only silent may return.
func (v View) unresponsiveVoter() (string, bool) {
	unresponsive := 0
	first := ""
	for _, voter := range v.Voters {
		if voter == v.Self || !v.Unresponsive[voter] {
			continue
		}
		unresponsive++
		if first == "" || v.certainty(voter) > v.certainty(first) {
			first = voter
		}
	}
	remaining := len(v.Voters) - 1
	responsive := len(v.Voters) - unresponsive
	return first, unresponsive > 0 && responsive > remaining/2
}

// certainty ranks the unresponsive voters by what is known of their end.
func (v View) certainty(voter string) int {
	switch {
	case v.Replaced[voter]:
		return 2
	case v.Refused[voter]:
		return 1
	}
	return 0
}
