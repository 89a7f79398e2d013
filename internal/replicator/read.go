package replicator

// pendingRead is an unconfirmed read and the sequence number carried by its
// heartbeats.
type pendingRead struct {
	id  uint64
	seq int
}

// startRead broadcasts a heartbeat. The read is confirmed once a quorum has responded
// to a heartbeat that was sent after the read arrived.
func (m *Machine) startRead(msg ReadMsg) {
	if m.role != Leader {
		m.emit(RejectedEffect{ID: msg.ID, Err: ErrNotLeader})
		return
	}
	if m.commitIndex < m.termStartIndex {
		m.emit(RejectedEffect{ID: msg.ID, Err: ErrReadNotReady})
		return
	}
	m.lastReadSeq++
	m.pendingReads = append(m.pendingReads, pendingRead{msg.ID, m.lastReadSeq})
	m.broadcastHeartbeat()
	m.confirmReads()
}

// confirmReads confirms the pending reads whose heartbeats a quorum has acknowledged.
func (m *Machine) confirmReads() {
	for len(m.pendingReads) > 0 {
		seq := m.pendingReads[0].seq
		if !m.isReachedByQuorum(func(p *progress) bool { return p.ackedReadSeq >= seq }) {
			return
		}
		m.emit(ReadConfirmedEffect{ID: m.pendingReads[0].id})
		m.pendingReads = m.pendingReads[1:]
	}
}

// rejectReads rejects all pending reads with ErrNotLeader.
func (m *Machine) rejectReads() {
	for _, r := range m.pendingReads {
		m.emit(RejectedEffect{ID: r.id, Err: ErrNotLeader})
	}
	m.pendingReads = nil
}
