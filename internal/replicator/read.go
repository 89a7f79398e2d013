package replicator

import "slices"

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
	if len(m.pendingReads) == 0 {
		return
	}
	ackedSeqs := make([]int, 0, len(m.Voters()))
	for _, id := range m.Voters() {
		ackedSeq := 0
		if id == m.id {
			ackedSeq = m.lastReadSeq
		} else if p := m.progress[id]; p != nil {
			ackedSeq = p.ackedReadSeq
		}
		ackedSeqs = append(ackedSeqs, ackedSeq)
	}
	slices.Sort(ackedSeqs)
	confirmedSeq := ackedSeqs[len(ackedSeqs)-m.quorum()]
	for len(m.pendingReads) > 0 && m.pendingReads[0].seq <= confirmedSeq {
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
