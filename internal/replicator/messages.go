package replicator

import (
	"papayaseam/internal/messenger"

	"github.com/cockroachdb/errors"
)

// ErrNotLeader rejects a proposal or read at a replica that is not the leader;
// send it to the leader instead.
var ErrNotLeader = errors.New("this replica does not lead; send the proposal to the leader")

// ErrChangePending rejects a membership change while another one, or the first
// entry of the leader's term, is not yet committed; retry it later.
var ErrChangePending = errors.New("another membership change is pending; repeat the change when it has ended")

// EndsChange reports whether a committed entry permits the next membership change.
func EndsChange(entry messenger.Entry) bool {
	return entry.Kind == EntryNoOp || entry.Kind == EntryVoters
}

// ErrVotersChanged rejects a membership change that was decided on other voters; decide
// again on the present ones.
var ErrVotersChanged = errors.New("the voters have changed since the membership change was decided; decide again")

// ErrNotCaughtUp rejects the addition of a replica that has not shown to this leader that it
// keeps the log; ask the leader to let it learn, and repeat the change.
var ErrNotCaughtUp = errors.New("the replica has not caught up with the log; repeat the change when it has")

// ErrReadNotReady rejects a read at a leader that has not yet committed an entry
// of its own term; retry it later.
var ErrReadNotReady = errors.New("this leader has not committed an entry of its term; repeat the read in a moment")

// Msg is an input of a Machine.
type Msg interface{ replicaMsg() }

// TickMsg reports that one tick of the timer has passed.
type TickMsg struct{}

// ReceiveMsg delivers a message from another replica.
type ReceiveMsg struct{ Message messenger.ReplicaMessage }

// ProposeMsg requests that a command be appended to the log.
type ProposeMsg struct {
	ID   uint64 // ID identifies the proposal in the effect that responds to it.
	Data []byte
}

// LearnMsg requests that a replica get the log without a vote. The response is a
// CaughtUpEffect, or ErrNotCaughtUp as long as the replica has not shown that it keeps it.
type LearnMsg struct {
	ID      uint64 // ID identifies the request in the effect that responds to it.
	Replica string
}

// ChangeVotersMsg requests that one voter be added or removed. If both are set, Add
// wins unless that voter is already a member. Only a replica that has caught up as a
// learner of this leader is added.
type ChangeVotersMsg struct {
	ID     uint64
	Add    string
	Remove string
	Voters []string // Voters, if set, are the voters on which the change was decided; others reject it.
}

// DiskLostMsg reports that the disk of a voter is proven to be lost, so that it never answers
// again. Half of an even number of voters is then a quorum without it.
type DiskLostMsg struct{ Replica string }

// LeaderSuspectedMsg reports that no process listens at the address of the leader. The
// replica then gives the leader up after one missed heartbeat.
type LeaderSuspectedMsg struct{ Leader string }

// ReadMsg requests confirmation for a linearizable read: that this replica is still
// the leader and so knows everything that was committed before the message.
type ReadMsg struct{ ID uint64 }

// CompactMsg replaces the log up to and including an applied index with a snapshot.
type CompactMsg struct {
	Index int
	Data  []byte
}

func (TickMsg) replicaMsg()            {}
func (ReceiveMsg) replicaMsg()         {}
func (ProposeMsg) replicaMsg()         {}
func (ChangeVotersMsg) replicaMsg()    {}
func (LearnMsg) replicaMsg()           {}
func (LeaderSuspectedMsg) replicaMsg() {}
func (DiskLostMsg) replicaMsg()        {}
func (CompactMsg) replicaMsg()         {}
func (ReadMsg) replicaMsg()            {}

// Effect is an output of a Machine.
type Effect interface{ replicaEffect() }

// SaveEffect writes persistent state. It must be synced before any later effect is
// executed. Entries replace all entries from their first index on; a snapshot
// replaces all entries up to and including its index, or the whole log if Reset is
// set.
type SaveEffect struct {
	Vote     *messenger.VoteState
	Entries  []messenger.Entry
	Snapshot *messenger.Snapshot
	Reset    bool
}

// SendEffect sends a message to another replica. The message may be lost.
type SendEffect struct{ Message messenger.ReplicaMessage }

// ApplyEffect applies committed entries to the replicated state machine.
type ApplyEffect struct{ Entries []messenger.Entry }

// RestoreEffect replaces the state of the replicated state machine with a snapshot.
type RestoreEffect struct{ Snapshot messenger.Snapshot }

// ProposalAppendedEffect reports the index and term at which a proposal was appended
// to the leader's log. The proposal is committed only if the entry applied at that
// index has that term.
type ProposalAppendedEffect struct {
	ID    uint64
	Index int
	Term  int
}

// ReadConfirmedEffect reports that a quorum confirmed the leader after the read
// arrived. The state applied now contains everything committed before the read.
type ReadConfirmedEffect struct{ ID uint64 }

// CaughtUpEffect reports that a learner stores the log. ID is 0 unless it responds to a
// LearnMsg.
type CaughtUpEffect struct {
	ID      uint64
	Replica string
}

// RejectedEffect reports that a proposal was not appended or a read not confirmed.
type RejectedEffect struct {
	ID  uint64
	Err error
}

// LeaderChangedEffect reports that the known leader or the role has changed.
type LeaderChangedEffect struct {
	Leader string
	Role   Role
	Term   int
}

func (SaveEffect) replicaEffect()             {}
func (SendEffect) replicaEffect()             {}
func (ApplyEffect) replicaEffect()            {}
func (RestoreEffect) replicaEffect()          {}
func (ProposalAppendedEffect) replicaEffect() {}
func (CaughtUpEffect) replicaEffect()         {}
func (RejectedEffect) replicaEffect()         {}
func (ReadConfirmedEffect) replicaEffect()    {}
func (LeaderChangedEffect) replicaEffect()    {}
