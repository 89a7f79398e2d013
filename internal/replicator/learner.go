package replicator

import "papayaseam/internal/messenger"

// learner is a replica that gets the log of a leader without a vote, until it has shown
// that it keeps it.
type learner struct {
	target    int // target is the last index of the log when the present round began.
	roundAge  int // roundAge counts the ticks since the round began.
	idleTicks int // idleTicks counts the ticks without a message or a request for the learner.
	caughtUp  bool
}

// learn starts to send the log to a replica and reports whether it has caught up. A leader
// that is being removed can't learn from itself.
func (m *Machine) learn(msg LearnMsg) {
	if m.role != Leader {
		m.emit(RejectedEffect{ID: msg.ID, Err: ErrNotLeader})
		return
	}
	l := m.learners[msg.Replica]
	if l == nil && !m.isVoter(msg.Replica) && msg.Replica != m.id {
		l = &learner{target: m.lastIndex()}
		m.learners[msg.Replica] = l
		m.syncProgress()
		m.sendAppend(msg.Replica)
	}
	if l != nil {
		l.idleTicks = 0
	}
	if m.isVoter(msg.Replica) || l != nil && l.caughtUp {
		m.emit(CaughtUpEffect{ID: msg.ID, Replica: msg.Replica})
		return
	}
	m.emit(RejectedEffect{ID: msg.ID, Err: ErrNotCaughtUp})
}

// noteLearner takes a response into account. A learner has caught up once it stores, within
// an election timeout, what the log held at the start of a round: it then lags too little
// to hold up commits as a voter.
func (m *Machine) noteLearner(message messenger.ReplicaMessage, p *progress) {
	l := m.learners[message.From]
	if l == nil {
		return
	}
	l.idleTicks = 0
	if l.caughtUp || message.Kind != KindAppendResponse || message.Reject || p.matchIndex < l.target {
		return
	}
	if l.roundAge > m.options.electionTicks {
		l.target, l.roundAge = m.lastIndex(), 0
		return
	}
	l.caughtUp = true
	m.emit(CaughtUpEffect{Replica: message.From})
}

// tickLearners drops the learners that nobody has asked for and that have not answered for
// some time.
func (m *Machine) tickLearners() {
	if len(m.learners) == 0 {
		return
	}
	for id, l := range m.learners {
		l.roundAge++
		l.idleTicks++
		if l.idleTicks > learnerIdleTicks {
			delete(m.learners, id)
		}
	}
	m.syncProgress()
}

// peers returns the other replicas that get the log: the members and the learners.
func (m *Machine) peers() []string {
	var peers []string
	for _, id := range m.members() {
		if id != m.id {
			peers = append(peers, id)
		}
	}
	for _, id := range sortedKeys(m.learners) {
		if !m.isMember(id) {
			peers = append(peers, id)
		}
	}
	return peers
}
