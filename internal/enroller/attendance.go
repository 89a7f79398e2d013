package enroller

import (
	"maps"
	"slices"
	"time"
)

const (
	// RoundInterval is the time between two RoundMsg. A voter answers at least one
	// heartbeat in it.
	RoundInterval = 100 * time.Millisecond
	// missedRounds is the number of rounds in a row without a sign of a spare voter after
	// which it is given up. One is missed by a heartbeat that falls on the border of two
	// rounds, two by a voter that syncs a large entry.
	missedRounds = 3
	// stallFactor is the number of round intervals after which a late round shows that
	// this process stood still, so that it tells nothing about the others.
	stallFactor = 2
	// neededSilence is the silence after which a voter that is needed may be replaced;
	// far above the heartbeat interval, also on a slow machine.
	neededSilence = 3 * time.Second
	// firstBar is how long a spare voter that was given up may not join again. It doubles
	// with each time up to lastBar, so that a process that comes and goes causes few
	// changes.
	firstBar = 2 * time.Second
	lastBar  = 16 * time.Second
)

// AttendanceMsg is an input of an Attendance.
type AttendanceMsg interface{ attendanceMsg() }

// HeardMsg reports a message from a replica.
type HeardMsg struct {
	Now     time.Duration
	Replica string
}

// RefusedMsg reports that no process listens at the address of a replica.
type RefusedMsg struct{ Replica string }

// ReplacedMsg reports that a process with another disk answered at the address of a replica,
// in response to a message for that replica. Its disk is lost, and it never votes again.
type ReplacedMsg struct{ Replica string }

// LeadMsg reports that this process has become the leader, and who led before.
type LeadMsg struct {
	Now    time.Duration
	Former string
}

// RoundMsg reports that a RoundInterval has passed since the last one.
type RoundMsg struct {
	Now      time.Duration
	Voters   []string // Voters are all voters but this process.
	Learners []string // Learners are the replicas that asked to become voters.
}

// GivenUpMsg reports that a spare voter was removed because it was gone.
type GivenUpMsg struct {
	Now     time.Duration
	Replica string
}

func (HeardMsg) attendanceMsg()    {}
func (RefusedMsg) attendanceMsg()  {}
func (ReplacedMsg) attendanceMsg() {}
func (LeadMsg) attendanceMsg()     {}
func (RoundMsg) attendanceMsg()    {}
func (GivenUpMsg) attendanceMsg()  {}

// bar keeps a replica that was given up from joining again for some time.
type bar struct {
	until  time.Duration
	length time.Duration
}

// Attendance decides from the signs of the voters which of them are gone. A voter beyond
// those that are needed is gone at the first sign: a refused connection, or a few missed
// rounds. A voter that is needed is given up late, and only for a successor. One whose disk
// is lost is gone for good.
type Attendance struct {
	ledSince time.Duration
	roundAt  time.Duration
	heard    map[string]time.Duration
	missed   map[string]int // missed counts the rounds in a row without a sign of a voter.
	refused  map[string]bool
	replaced map[string]bool // replaced holds the voters whose disks are lost.
	bars     map[string]bar
}

// NewAttendance returns an empty record.
func NewAttendance() *Attendance {
	return &Attendance{heard: map[string]time.Duration{}, missed: map[string]int{}, refused: map[string]bool{}, replaced: map[string]bool{}, bars: map[string]bar{}}
}

// Update processes one message and reports whether it showed a voter to be gone.
func (a *Attendance) Update(msg AttendanceMsg) bool {
	switch msg := msg.(type) {
	case HeardMsg:
		a.heard[msg.Replica] = msg.Now
		delete(a.missed, msg.Replica)
		delete(a.refused, msg.Replica)
	case RefusedMsg:
		known := a.refused[msg.Replica]
		a.refused[msg.Replica] = true
		return !known
	case ReplacedMsg:
		known := a.replaced[msg.Replica]
		a.replaced[msg.Replica] = true
		return !known
	case LeadMsg:
		a.lead(msg)
	case RoundMsg:
		return a.endRound(msg)
	case GivenUpMsg:
		length := min(max(firstBar, 2*a.bars[msg.Replica].length), lastBar)
		a.bars[msg.Replica] = bar{until: msg.Now + length, length: length}
	}
	return false
}

// lead starts a new record. Refusals and lost disks remain, and the former leader has one round left to
// give a sign: its silence has caused the election.
func (a *Attendance) lead(msg LeadMsg) {
	a.ledSince, a.roundAt = msg.Now, msg.Now
	a.heard = map[string]time.Duration{}
	a.missed = map[string]int{}
	if msg.Former != "" {
		a.missed[msg.Former] = missedRounds - 1
	}
}

// endRound counts the voters without a sign in the round and forgets former voters and old
// bars.
func (a *Attendance) endRound(msg RoundMsg) (gone bool) {
	stalled := msg.Now-a.roundAt > stallFactor*RoundInterval
	for _, voter := range msg.Voters {
		if heard, ok := a.heard[voter]; stalled || ok && heard >= a.roundAt {
			continue
		}
		a.missed[voter]++
		gone = gone || a.missed[voter] == missedRounds
	}
	a.roundAt = msg.Now
	former := func(replica string) bool {
		return !slices.Contains(msg.Voters, replica) && !slices.Contains(msg.Learners, replica)
	}
	maps.DeleteFunc(a.heard, func(replica string, _ time.Duration) bool { return former(replica) })
	maps.DeleteFunc(a.missed, func(replica string, _ int) bool { return former(replica) })
	maps.DeleteFunc(a.refused, func(replica string, _ bool) bool { return former(replica) })
	maps.DeleteFunc(a.replaced, func(replica string, _ bool) bool { return former(replica) })
	maps.DeleteFunc(a.bars, func(_ string, b bar) bool { return msg.Now-b.until > lastBar })
	return gone
}

// Refused reports whether the address of a voter refuses connections.
func (a *Attendance) Refused(voter string) bool { return a.refused[voter] }

// Replaced reports whether the disk of a voter is lost.
func (a *Attendance) Replaced(voter string) bool { return a.replaced[voter] }

// Gone reports whether a voter is gone. A spare voter is one of more than are needed.
func (a *Attendance) Gone(now time.Duration, voter string, spare bool) bool {
	if a.replaced[voter] {
		return true
	}
	if spare && (a.refused[voter] || a.missed[voter] >= missedRounds) {
		return true
	}
	return now-max(a.heard[voter], a.ledSince) > neededSilence
}

// MayJoin reports whether a replica may become a voter: one that was given up may not for
// some time, unless fewer of the voters than are needed show signs of life. The others are
// all voters but this process.
func (a *Attendance) MayJoin(now time.Duration, replica string, others []string, minVoters int) bool {
	live := 1
	for _, voter := range others {
		if !a.Gone(now, voter, true) {
			live++
		}
	}
	b, barred := a.bars[replica]
	return live < minVoters || !barred || now >= b.until
}
