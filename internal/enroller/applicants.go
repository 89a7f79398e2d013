package enroller

import "slices"

// maxApplicants bounds the pending join requests.
const maxApplicants = 16

// ApplicantMsg is an input of Applicants.
type ApplicantMsg interface{ applicantMsg() }

// LeadershipMsg reports that this process has gained or lost the leadership.
type LeadershipMsg struct{ Leading bool }

// JoinRequestedMsg reports a request of a replica to become a voter.
type JoinRequestedMsg struct{ Replica string }

// NoChangeDueMsg reports that no pending request causes a membership change.
type NoChangeDueMsg struct{}

func (LeadershipMsg) applicantMsg()    {}
func (JoinRequestedMsg) applicantMsg() {}
func (NoChangeDueMsg) applicantMsg()   {}

// Applicants holds the replicas that asked this leader to become voters. A request is valid
// only for the leadership in which it was read: a process that was frozen may read it late,
// while it still takes itself for the leader, and lead again long after the replica is gone.
type Applicants struct {
	leading  bool
	replicas []string // replicas are the identities, oldest request first.
}

// NewApplicants returns the requests of a process that doesn't lead.
func NewApplicants() *Applicants { return &Applicants{} }

// Update processes one message and reports whether a request was added.
func (a *Applicants) Update(msg ApplicantMsg) bool {
	switch msg := msg.(type) {
	case LeadershipMsg:
		a.leading, a.replicas = msg.Leading, nil
	case JoinRequestedMsg:
		if !a.leading || slices.Contains(a.replicas, msg.Replica) || len(a.replicas) >= maxApplicants {
			return false
		}
		a.replicas = append(a.replicas, msg.Replica)
		return true
	case NoChangeDueMsg:
		a.replicas = nil
	}
	return false
}

// Replicas returns the identities that asked to become voters, oldest request first.
func (a *Applicants) Replicas() []string { return slices.Clone(a.replicas) }
