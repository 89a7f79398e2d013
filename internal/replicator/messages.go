package replicator

import (
	"papayaseam/internal/messenger"

	"github.com/cockroachdb/errors"
)

// ErrNotLeader refuses a proposal at a replica that does not lead; send it to
// the leader instead.
var ErrNotLeader = errors.New("this replica does not lead; send the proposal to the leader")

// ErrChangePending refuses a membership change while another one is not yet
// committed; repeat it later.
var ErrChangePending = errors.New("another membership change is pending; repeat the change when it has ended")

// ErrReadNotReady refuses a read at a leader that has not yet committed an entry
// of its own term; repeat it later.
var ErrReadNotReady = errors.New("this leader has not committed an entry of its term; repeat the read in a moment")

// Msg is an input of the machine.
type Msg interface{ replicaMsg() }

// TickMsg tells that one tick of the timer has passed.
type TickMsg struct{}

// ReceiveMsg carries a message from another replica.
type ReceiveMsg struct{ Message messenger.ReplicaMessage }

// ProposeMsg asks for one command to be appended to the log.
type ProposeMsg struct {
	ID   uint64 // ID names the proposal in the effect that answers it.
	Data []byte
}

// ChangeVotersMsg asks for one voter to be added or removed.
type ChangeVotersMsg struct {
	ID     uint64
	Add    string
	Remove string
}

// ReadMsg asks whether this replica still leads and so knows all that was
// committed before the message.
type ReadMsg struct{ ID uint64 }

// CompactMsg replaces the log up to an applied index by a snapshot.
type CompactMsg struct {
	Index int
	Data  []byte
}

func (TickMsg) replicaMsg()         {}
func (ReceiveMsg) replicaMsg()      {}
func (ProposeMsg) replicaMsg()      {}
func (ChangeVotersMsg) replicaMsg() {}
func (CompactMsg) replicaMsg()      {}
func (ReadMsg) replicaMsg()         {}

// Effect is an output of the machine.
type Effect interface{ replicaEffect() }

// SaveEffect writes durable state; it must be synced before any effect behind
// it is executed. Entries replace everything at or behind their first index; a
// snapshot replaces everything up to its index, and with Reset the whole log.
type SaveEffect struct {
	Vote     *messenger.VoteState
	Entries  []messenger.Entry
	Snapshot *messenger.Snapshot
	Reset    bool
}

// SendEffect sends a message to another replica; it may be lost.
type SendEffect struct{ Message messenger.ReplicaMessage }

// ApplyEffect hands committed entries to the state machine above.
type ApplyEffect struct{ Entries []messenger.Entry }

// RestoreEffect replaces the state machine above by a snapshot.
type RestoreEffect struct{ Snapshot messenger.Snapshot }

// ProposalAppendedEffect tells at which index and term a proposal was appended. It is
// committed only if that index is applied with that term.
type ProposalAppendedEffect struct {
	ID    uint64
	Index int
	Term  int
}

// ReadConfirmedEffect tells that a quorum has confirmed the leadership after a read
// arrived, so that the state applied now is not older than it.
type ReadConfirmedEffect struct{ ID uint64 }

// RejectedEffect tells that a proposal was not appended, or a read not confirmed.
type RejectedEffect struct {
	ID  uint64
	Err error
}

// LeaderChangedEffect tells that the known leader or the role has changed.
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
func (RejectedEffect) replicaEffect()         {}
func (ReadConfirmedEffect) replicaEffect()    {}
func (LeaderChangedEffect) replicaEffect()    {}
