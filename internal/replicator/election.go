package replicator

import (
	"maps"
	"slices"

	"papayaseam/internal/messenger"
)

func (m *Machine) tick() {
	m.elapsedTicks++
	if m.role == Leader {
		m.tickLeader()
		return
	}
	if m.elapsedTicks < m.timeoutTicks() {
		return
	}
	if m.isMember(m.id) {
		m.campaign(PreCandidate)
		return
	}
	// A replica without a vote must learn that nobody sends it the log, to ask again.
	m.become(Follower, m.voteState.Term, "")
}

func (m *Machine) tickLeader() {
	m.quorumCheckTicks++
	m.tickLearners()
	if m.quorumCheckTicks >= m.options.electionTicks {
		m.quorumCheckTicks = 0
		if !m.checkQuorum() {
			m.become(Follower, m.voteState.Term, "")
			return
		}
	}
	if m.elapsedTicks >= m.options.heartbeatTicks {
		m.elapsedTicks = 0
		m.broadcastHeartbeat()
	}
}

// checkQuorum reports whether a quorum was active since the last check.
func (m *Machine) checkQuorum() bool {
	active := m.isReachedByQuorum(func(p *progress) bool { return p.recentlyActive })
	for _, p := range m.progress {
		p.recentlyActive = false
	}
	return active
}

// become changes the role, term and known leader. A higher term clears the vote and
// is saved. Leaving the leader role rejects the pending reads.
func (m *Machine) become(role Role, term int, leader string) {
	if term > m.voteState.Term {
		m.voteState = messenger.VoteState{Term: term, VotersCommitted: m.voteState.VotersCommitted}
		m.saveVoteState()
	}
	changed := m.role != role || m.leader != leader
	m.role = role
	m.leader = leader
	m.leaderSeen = m.leaderSeen || leader != ""
	if role != Leader {
		m.progress, m.learners = nil, nil
		m.rejectReads()
	}
	m.resetElectionTimer()
	if changed {
		m.emit(LeaderChangedEffect{Leader: leader, Role: role, Term: m.voteState.Term})
	}
}

// campaign starts a pre-vote (PreCandidate) or an election in the next term
// (Candidate) and requests the votes of the other voters.
func (m *Machine) campaign(role Role) {
	term := m.voteState.Term
	kind := KindPreVote
	if role == Candidate {
		term++
		kind = KindVote
	}
	m.become(role, term, "")
	if role == Candidate {
		m.voteState.Vote = m.id
		m.saveVoteState()
	}
	m.ballot = &ballot{m: m, granted: map[string]bool{m.id: true}, lost: map[string][]string{}}
	if m.countVotes() {
		return
	}
	for _, id := range m.members() {
		if id == m.id {
			continue
		}
		m.send(id, messenger.ReplicaMessage{
			Kind: kind, Term: m.voteState.Term + btoi(role == PreCandidate),
			Index: m.lastIndex(), LogTerm: m.lastTerm(),
		})
	}
}

// btoi returns 1 for true and 0 for false.
func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// countVotes ends the campaign once a quorum has granted or rejected it, and reports
// whether it did. A granted pre-vote starts the election itself.
func (m *Machine) countVotes() bool {
	granted := m.hasQuorum(m.ballot)
	switch {
	case granted && m.role == PreCandidate:
		m.campaign(Candidate)
	case granted:
		m.becomeLeader()
	case m.hasQuorum(rejections{m.ballot}):
		m.become(Follower, m.voteState.Term, "")
	default:
		return false
	}
	return true
}

// becomeLeader takes the leader role and appends a no-op entry, since entries of
// earlier terms are committed only together with one of the current term.
func (m *Machine) becomeLeader() {
	m.leaderSuspected = false
	m.become(Leader, m.voteState.Term, m.id)
	m.elapsedTicks = 0
	m.quorumCheckTicks = 0
	m.progress, m.learners = map[string]*progress{}, map[string]*learner{}
	m.termStartIndex = m.lastIndex() + 1
	m.syncProgress()
	m.truncateAndAppend([]messenger.Entry{{Index: m.termStartIndex, Term: m.voteState.Term, Kind: EntryNoOp}})
	m.broadcastAppend()
	m.advanceCommitIndex()
}

// syncProgress adds missing peers to the progress table and removes former ones. A learner
// that has become a voter is no longer a learner.
func (m *Machine) syncProgress() {
	maps.DeleteFunc(m.learners, func(id string, _ *learner) bool { return m.isVoter(id) })
	for _, id := range m.peers() {
		if m.progress[id] == nil {
			m.progress[id] = &progress{nextIndex: m.lastIndex() + 1, recentlyActive: true}
		}
	}
	maps.DeleteFunc(m.progress, func(id string, _ *progress) bool { return m.learners[id] == nil && !m.isMember(id) })
	maps.DeleteFunc(m.lost, func(id string, _ bool) bool { return !m.isMember(id) })
}

// leaderRecentlyHeard reports whether this replica is the leader or heard from it
// within the minimum election timeout. Vote requests are ignored meanwhile, so that
// they can't disrupt a working leader.
func (m *Machine) leaderRecentlyHeard() bool {
	return m.leader != "" && (m.role == Leader || !m.leaderSuspected && m.elapsedTicks < m.options.electionTicks)
}

// turnTicks returns when it is this voter's turn to campaign after the leader was lost. The
// voters campaign one after another, in the order of the list that all of them share: where
// all that are left must vote for the same one, two candidates would elect none. The newest
// voter is first, since a replacement removes the older ones, each with an election if it leads.
func (m *Machine) turnTicks() int {
	rank := 0
	for _, id := range slices.Backward(m.Voters()) {
		if id == m.id {
			break
		}
		rank += btoi(id != m.leader)
	}
	return suspicionStaggerTicks * rank
}

// suspectLeader shortens the wait for the leader to one missed heartbeat.
func (m *Machine) suspectLeader(msg LeaderSuspectedMsg) {
	if m.role != Follower || m.leader == "" || m.leader != msg.Leader {
		return
	}
	m.leaderSuspected = true
}

// handleVoteRequest grants a vote or pre-vote if the candidate's log is at least as
// up to date as this one and, for a vote, no other candidate got it in this term.
func (m *Machine) handleVoteRequest(message messenger.ReplicaMessage) {
	upToDate := message.LogTerm > m.lastTerm() ||
		(message.LogTerm == m.lastTerm() && message.Index >= m.lastIndex())
	if message.Kind == KindPreVote {
		grant := upToDate && message.Term > m.voteState.Term
		response := messenger.ReplicaMessage{Kind: KindPreVoteResponse, Reject: !grant}
		if grant {
			response.Term = message.Term
		}
		m.send(message.From, response)
		return
	}
	grant := upToDate && (m.voteState.Vote == "" || m.voteState.Vote == message.From)
	if grant {
		m.voteState.Vote = message.From
		m.saveVoteState()
		m.resetElectionTimer()
	}
	m.send(message.From, messenger.ReplicaMessage{Kind: KindVoteResponse, Reject: !grant})
}

// handleVoteResponse records the first response of each voter to a campaign of role.
func (m *Machine) handleVoteResponse(message messenger.ReplicaMessage, role Role) {
	if m.role != role {
		return
	}
	m.ballot.record(message)
	m.countVotes()
}
