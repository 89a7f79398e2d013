package enroller

import (
	"slices"
	"time"
)

// maxApplicants bounds the pending join requests.
const maxApplicants = 16

// ApplicantMsg is an input of Applicants.
type ApplicantMsg interface{ applicantMsg() }

// LeadershipMsg reports that this process has gained or lost the leadership.
type LeadershipMsg struct{ Leading bool }

// JoinRequestedMsg reports a request of a replica to become a voter.
type JoinRequestedMsg struct {
	Now     time.Duration
	Replica string
}

func (LeadershipMsg) applicantMsg()    {}
func (JoinRequestedMsg) applicantMsg() {}
func (HeardMsg) applicantMsg()         {}
func (RefusedMsg) applicantMsg()       {}
func (ReplacedMsg) applicantMsg()      {}
func (RoundMsg) applicantMsg()         {}

// applicant is a replica that asked to become a voter.
type applicant struct {
	replica string
	heard   time.Duration
}

// Applicants holds the replicas that asked this leader to become voters. A request is valid
// only for the leadership in which it was read: a process that was frozen may read it late,
// while it still takes itself for the leader, and lead again long after the replica is gone.
// It ends with the first sign that the replica is gone, with its silence, and once the replica
// votes, so that a replica that was removed again must ask again.
type Applicants struct {
	leading bool
	roundAt time.Duration
	list    []applicant // list holds the applicants, oldest request first.
}

// NewApplicants returns the requests of a process that doesn't lead.
func NewApplicants() *Applicants { return &Applicants{} }

// Update processes one message and reports whether a request was added.
func (a *Applicants) Update(msg ApplicantMsg) bool {
	switch msg := msg.(type) {
	case LeadershipMsg:
		a.leading, a.list = msg.Leading, nil
	case JoinRequestedMsg:
		return a.request(msg)
	case HeardMsg:
		if i := a.index(msg.Replica); i >= 0 {
			a.list[i].heard = msg.Now
		}
	case RefusedMsg:
		a.drop(msg.Replica)
	case ReplacedMsg:
		a.drop(msg.Replica)
	case RoundMsg:
		a.endRound(msg)
	}
	return false
}

func (a *Applicants) request(msg JoinRequestedMsg) bool {
	if !a.leading || a.index(msg.Replica) >= 0 || len(a.list) >= maxApplicants {
		return false
	}
	a.list = append(a.list, applicant{replica: msg.Replica, heard: msg.Now})
	return true
}

// endRound drops the applicants that vote or are silent. A round in which this process stood
// still tells nothing about the others.
func (a *Applicants) endRound(msg RoundMsg) {
	stalled := msg.Now-a.roundAt > stallFactor*RoundInterval
	a.roundAt = msg.Now
	a.list = slices.DeleteFunc(a.list, func(p applicant) bool {
		return slices.Contains(msg.Voters, p.replica) || !stalled && msg.Now-p.heard > neededSilence
	})
}

func (a *Applicants) index(replica string) int {
	return slices.IndexFunc(a.list, func(p applicant) bool { return p.replica == replica })
}

func (a *Applicants) drop(replica string) {
	a.list = slices.DeleteFunc(a.list, func(p applicant) bool { return p.replica == replica })
}

// Replicas returns the identities that asked to become voters, oldest request first.
func (a *Applicants) Replicas() []string {
	var replicas []string
	for _, p := range a.list {
		replicas = append(replicas, p.replica)
	}
	return replicas
}
