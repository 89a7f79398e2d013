package replicator

import (
	"slices"

	"papayaseam/internal/messenger"
)

// answers tells which replicas agree, and which lost disks each of them knows of.
type answers interface {
	agrees(id string) bool
	knowsLost(id, lost string) bool
}

// isQuorum reports whether the replicas that agree are a quorum of the voters: a majority, or
// exactly half of them, if all of these know that the disk of one of the others is lost.
//
// Any two quorums share a replica that still has its disk. Two halves that share none would
// be each other's complement, so that each held the replica that the other knows to be lost,
// and each of these two had answered after the end of the other.
func isQuorum(voters []string, a answers) bool {
	var agreeing []string
	for _, id := range voters {
		if a.agrees(id) {
			agreeing = append(agreeing, id)
		}
	}
	if 2*len(agreeing) != len(voters) {
		return 2*len(agreeing) > len(voters)
	}
	return slices.ContainsFunc(voters, func(lost string) bool {
		return !slices.Contains(agreeing, lost) &&
			!slices.ContainsFunc(agreeing, func(id string) bool { return !a.knowsLost(id, lost) })
	})
}

// hasQuorum reports whether the replicas that agree are a quorum of the voters and, while a
// membership change is not known to be committed, of the voters before it too. A half of the
// former voters would otherwise miss what a majority of the new ones has committed.
func (m *Machine) hasQuorum(a answers) bool {
	for _, config := range m.activeConfigs() {
		if !isQuorum(config.voters, a) {
			return false
		}
	}
	return true
}

// activeConfigs returns the newest list of voters and, unless it is known to be committed,
// the one before it.
func (m *Machine) activeConfigs() []voterConfig {
	newest := len(m.configs) - 1
	if newest > 0 && m.configs[newest].index > max(m.commitIndex, m.voteState.VotersCommitted) {
		return m.configs[newest-1:]
	}
	return m.configs[newest:]
}

// members returns the voters of all active configurations.
func (m *Machine) members() []string {
	var members []string
	for _, config := range m.activeConfigs() {
		for _, id := range config.voters {
			if !slices.Contains(members, id) {
				members = append(members, id)
			}
		}
	}
	return members
}

func (m *Machine) isMember(id string) bool { return slices.Contains(m.members(), id) }

// noteVotersCommitted saves that the newest list of voters is committed, so that after a
// restart of all replicas no quorum of the list before it is needed.
func (m *Machine) noteVotersCommitted() {
	newest := m.configs[len(m.configs)-1].index
	if newest > m.commitIndex || newest <= max(m.voteState.VotersCommitted, m.snapshot.Index) {
		return
	}
	m.voteState.VotersCommitted = newest
	m.saveVoteState()
}

// noteLost records the members whose disks are lost.
func (m *Machine) noteLost(replicas []string) {
	for _, id := range replicas {
		if m.isMember(id) && id != m.id {
			m.lost[id] = true
		}
	}
}

// lostMembers returns the members whose disks are known to be lost.
func (m *Machine) lostMembers() []string {
	if len(m.lost) == 0 {
		return nil
	}
	return slices.DeleteFunc(sortedKeys(m.lost), func(id string) bool { return !m.isMember(id) })
}

// ballot holds the responses to a campaign.
type ballot struct {
	m       *Machine
	granted map[string]bool
	lost    map[string][]string // lost maps the voters to the lost disks that they know of.
}

func (b *ballot) agrees(id string) bool { return b.granted[id] }

func (b *ballot) knowsLost(id, lost string) bool {
	return id == b.m.id && b.m.lost[lost] || slices.Contains(b.lost[id], lost)
}

// rejections are the voters that have rejected a campaign.
type rejections struct{ *ballot }

func (r rejections) agrees(id string) bool {
	granted, voted := r.granted[id]
	return voted && !granted
}

// record keeps the first response of each voter, and what it has said of lost disks since.
func (b *ballot) record(message messenger.ReplicaMessage) {
	if _, voted := b.granted[message.From]; !voted {
		b.granted[message.From] = !message.Reject
	}
	b.lost[message.From] = message.Lost
}

// followers tells which replicas a leader counts by their progress.
type followers struct {
	m       *Machine
	reached func(p *progress) bool
}

func (f followers) agrees(id string) bool {
	if id == f.m.id {
		return true
	}
	p := f.m.progress[id]
	return p != nil && f.reached(p)
}

func (f followers) knowsLost(id, lost string) bool {
	if id == f.m.id {
		return f.m.lost[lost]
	}
	p := f.m.progress[id]
	return p != nil && slices.Contains(p.lost, lost)
}

// isReachedByQuorum reports whether a quorum has made the progress.
func (m *Machine) isReachedByQuorum(reached func(p *progress) bool) bool {
	return m.hasQuorum(followers{m, reached})
}
