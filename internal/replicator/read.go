package replicator

import "slices"

// read is one pending read and the number that its heartbeats carry.
type read struct {
	id     uint64
	number int
}

// read starts a round of heartbeats; the read is confirmed once a quorum has
// answered one that was sent after it.
func (m *Machine) read(msg ReadMsg) {
	if m.role != Leader {
		m.emit(RejectedEffect{ID: msg.ID, Err: ErrNotLeader})
		return
	}
	if m.commit < m.termStart {
		m.emit(RejectedEffect{ID: msg.ID, Err: ErrReadNotReady})
		return
	}
	m.lastRead++
	m.reads = append(m.reads, read{msg.ID, m.lastRead})
	m.broadcastHeartbeat()
	m.confirmReads()
}

func (m *Machine) confirmReads() {
	if len(m.reads) == 0 {
		return
	}
	numbers := make([]int, 0, len(m.Voters()))
	for _, id := range m.Voters() {
		number := 0
		if id == m.id {
			number = m.lastRead
		} else if p := m.progress[id]; p != nil {
			number = p.read
		}
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	confirmed := numbers[len(numbers)-m.quorum()]
	for len(m.reads) > 0 && m.reads[0].number <= confirmed {
		m.emit(ReadConfirmedEffect{ID: m.reads[0].id})
		m.reads = m.reads[1:]
	}
}

func (m *Machine) rejectReads() {
	for _, r := range m.reads {
		m.emit(RejectedEffect{ID: r.id, Err: ErrNotLeader})
	}
	m.reads = nil
}
