package enroller

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"papayaseam/internal/messenger"
	"papayaseam/internal/replicator"
)

// The intervals of a control process (internal/director).
const (
	tickInterval     = 50 * time.Millisecond
	digestInterval   = 100 * time.Millisecond
	changeInterval   = 200 * time.Millisecond
	joinInterval     = 200 * time.Millisecond
	maxMessageDelay  = 15 * time.Millisecond // covers a sync to disk and a processor in use
	modelledMinimum  = 3
	joinAfterSilence = 1500 * time.Millisecond
)

// event is something that happens to the modelled processes at a time.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// process is one control process: its replica with its disk, and what it knows of others.
type process struct {
	id         string
	machine    *replicator.Machine
	disk       replicator.PersistentState
	attendance *Attendance
	lastLeader string
	leaderAt   time.Duration
	applicants *Applicants
	down       bool
	// silent makes the address of a process that is down swallow connections, as that of a
	// machine without power; otherwise it refuses them.
	silent bool
	frozen bool
	life   int // life tells the timers of this life from those of an earlier one.
}

// timeline runs control processes by the clock, with the replica and the decisions of the
// real ones. A refusal is noticed by the next heartbeat or digest, and by the check of the
// address whose connection has closed.
type timeline struct {
	now       time.Duration
	rng       *rand.Rand
	events    eventQueue
	nextSeq   int
	processes map[string]*process
	fewest    int // fewest is the lowest number of voters that a leader has had.
	changes   int // changes counts the membership changes that were proposed.
}

// newTimeline starts n processes that all vote.
func newTimeline(n int, seed uint64) *timeline {
	l := &timeline{rng: rand.New(rand.NewPCG(seed, 1)), processes: map[string]*process{}, fewest: n}
	var voters []string
	for i := range n {
		voters = append(voters, fmt.Sprintf("f@%d", i))
	}
	for _, id := range voters {
		l.found(id, voters)
	}
	return l
}

// found starts a process with an empty disk.
func (l *timeline) found(id string, voters []string) {
	p := &process{id: id, disk: replicator.PersistentState{Snapshot: messenger.Snapshot{Voters: voters}}}
	l.processes[id] = p
	l.start(p)
}

// start starts a process from its disk.
func (l *timeline) start(p *process) {
	p.life++
	p.down, p.frozen, p.attendance, p.applicants, p.leaderAt = false, false, NewAttendance(), NewApplicants(), l.now-joinAfterSilence
	p.machine = replicator.New(p.id, p.disk, replicator.WithSeed(l.rng.Uint64()))
	l.every(p, tickInterval, func() { l.step(p, replicator.TickMsg{}) })
	l.every(p, digestInterval, func() { l.sendDigest(p) })
	l.every(p, changeInterval, func() { l.changeVoters(p) })
	l.every(p, joinInterval, func() { l.requestJoin(p) })
	l.every(p, RoundInterval, func() {
		msg := RoundMsg{Now: l.now, Voters: p.otherVoters(), Learners: p.applicants.Replicas()}
		p.applicants.Update(msg)
		if p.attendance.Update(msg) {
			l.changeVoters(p)
		}
	})
}

func (l *timeline) after(delay time.Duration, run func()) {
	l.nextSeq++
	heap.Push(&l.events, event{l.now + delay, l.nextSeq, run})
}

// every runs a step of a process at an interval, at a random phase, while it lives. A frozen
// process runs a late step once it goes on.
func (l *timeline) every(p *process, interval time.Duration, step func()) {
	life := p.life
	var run func()
	run = func() {
		if p.down || p.life != life {
			return
		}
		if !p.frozen {
			step()
		}
		l.after(interval, run)
	}
	l.after(time.Duration(l.rng.Int64N(int64(interval))), run)
}

// run lets the time pass.
func (l *timeline) run(duration time.Duration) {
	end := l.now + duration
	for len(l.events) > 0 && l.events[0].at <= end {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.run()
	}
	l.now = end
}

// call delivers something to a process, or tells the caller that its address refuses.
func (l *timeline) call(from *process, to string, deliver func(p *process)) {
	fromLife := from.life
	l.after(time.Millisecond+time.Duration(l.rng.Int64N(int64(maxMessageDelay))), func() {
		p := l.processes[to]
		if p == nil {
			l.noteAnswer(from, fromLife, to)
			return
		}
		switch {
		case p.down && p.silent:
		case p.down:
			if !from.down && from.life == fromLife {
				l.noteRefused(from, to)
			}
		case p.frozen:
			l.call(from, to, deliver)
		default:
			deliver(p)
		}
	})
}

// noteAnswer tells a caller that another replica answers at the address of one that is gone.
func (l *timeline) noteAnswer(from *process, fromLife int, replica string) {
	for _, p := range l.processes {
		if AddressOf(p.id) != AddressOf(replica) || p.down || p.frozen || from.down || from.life != fromLife {
			continue
		}
		l.step(from, replicator.DiskLostMsg{Replica: replica})
		from.applicants.Update(ReplacedMsg{Replica: replica})
		if from.attendance.Update(ReplacedMsg{Replica: replica}) {
			l.changeVoters(from)
		}
	}
}

// learn reports whether a replica has caught up as a learner of a leader.
func (l *timeline) learn(p *process, replica string) bool {
	effects := p.machine.Update(replicator.LearnMsg{ID: 3, Replica: replica})
	l.execute(p, effects)
	return slices.Contains(effects, replicator.Effect(replicator.CaughtUpEffect{ID: 3, Replica: replica}))
}

func (l *timeline) noteRefused(p *process, replica string) {
	first := p.attendance.Update(RefusedMsg{Replica: replica})
	p.applicants.Update(RefusedMsg{Replica: replica})
	l.step(p, replicator.LeaderSuspectedMsg{Leader: replica})
	if first {
		l.changeVoters(p)
	}
}

// step updates the replica of a process and executes the effects.
func (l *timeline) step(p *process, msg replicator.Msg) { l.execute(p, p.machine.Update(msg)) }

func (l *timeline) execute(p *process, effects []replicator.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case replicator.SaveEffect:
			p.save(effect)
		case replicator.SendEffect:
			message := effect.Message
			l.call(p, message.To, func(to *process) {
				heard := HeardMsg{Now: l.now, Replica: message.From}
				to.attendance.Update(heard)
				to.applicants.Update(heard)
				l.step(to, replicator.ReceiveMsg{Message: message})
			})
		case replicator.CaughtUpEffect:
			if effect.ID == 0 {
				l.after(0, func() { l.changeVoters(p) })
			}
		case replicator.ApplyEffect:
			if slices.ContainsFunc(effect.Entries, replicator.EndsChange) {
				l.after(0, func() { l.changeVoters(p) })
			}
		case replicator.LeaderChangedEffect:
			p.applicants.Update(LeadershipMsg{Leading: effect.Role == replicator.Leader})
			if effect.Role == replicator.Leader {
				p.attendance.Update(LeadMsg{Now: l.now, Former: p.lastLeader})
			} else if effect.Leader != "" {
				p.lastLeader = effect.Leader
			}
		}
	}
	if p.machine.Leader() != "" {
		p.leaderAt = l.now
	}
	if p.machine.Role() == replicator.Leader {
		l.fewest = min(l.fewest, len(p.machine.Voters()))
	}
}

// otherVoters returns all voters but the process.
func (p *process) otherVoters() []string {
	return slices.DeleteFunc(slices.Clone(p.machine.Voters()), func(v string) bool { return v == p.id })
}

func (p *process) save(effect replicator.SaveEffect) {
	if effect.Vote != nil {
		p.disk.Vote = *effect.Vote
	}
	if effect.Snapshot != nil {
		p.disk.Entries = slices.DeleteFunc(p.disk.Entries, func(e messenger.Entry) bool { return effect.Reset || e.Index <= effect.Snapshot.Index })
		p.disk.Snapshot = *effect.Snapshot
	}
	if len(effect.Entries) > 0 {
		p.disk.Entries = slices.DeleteFunc(p.disk.Entries, func(e messenger.Entry) bool { return e.Index >= effect.Entries[0].Index })
		p.disk.Entries = append(p.disk.Entries, effect.Entries...)
	}
}

// sendDigest confirms at the leader, with a quorum there.
func (l *timeline) sendDigest(p *process) {
	if p.machine.Role() == replicator.Leader {
		l.step(p, replicator.ReadMsg{ID: 1})
	} else if leader := p.machine.Leader(); leader != "" {
		l.call(p, leader, func(*process) {})
	}
}

// requestJoin asks the leader for a vote once there has been no leader for a while. The
// request waits in the socket of a frozen process until it goes on.
func (l *timeline) requestJoin(p *process) {
	if l.now-p.leaderAt < joinAfterSilence {
		return
	}
	for _, id := range l.others(p.id) {
		l.call(p, id, func(leader *process) {
			voters := leader.machine.Voters()
			if !slices.Contains(voters, p.id) && leader.attendance.MayJoin(l.now, p.id, leader.otherVoters(), modelledMinimum) {
				leader.applicants.Update(JoinRequestedMsg{Now: l.now, Replica: p.id})
			}
		})
	}
}

// changeVoters makes the next membership change at a leader.
func (l *timeline) changeVoters(p *process) {
	if p.down || p.frozen || p.machine.Role() != replicator.Leader {
		return
	}
	voters := slices.Clone(p.machine.Voters())
	view := View{Self: p.id, Voters: voters, Unresponsive: map[string]bool{}, Refused: map[string]bool{}, Replaced: map[string]bool{}, MinVoters: modelledMinimum}
	for _, replica := range p.applicants.Replicas() {
		if l.learn(p, replica) {
			view.Joiners = append(view.Joiners, replica)
		}
	}
	for _, voter := range voters {
		view.Unresponsive[voter] = p.attendance.Gone(l.now, voter, len(voters) > modelledMinimum)
		view.Refused[voter] = p.attendance.Refused(voter)
		view.Replaced[voter] = p.attendance.Replaced(voter)
	}
	change, due := NextChange(view)
	if !due {
		return
	}
	before := p.machine.LogLength()
	l.step(p, replicator.ChangeVotersMsg{ID: 2, Add: change.Add, Remove: change.Remove, Voters: voters})
	if p.machine.LogLength() == before {
		return
	}
	l.changes++
	if change.Remove != "" && len(voters) > modelledMinimum && view.Unresponsive[change.Remove] {
		p.attendance.Update(GivenUpMsg{Now: l.now, Replica: change.Remove})
	}
}

// kill ends a process without notice.
func (l *timeline) kill(id string, silent bool) {
	p := l.processes[id]
	p.down, p.silent = true, silent
	if silent {
		return
	}
	for _, other := range l.others(id) {
		o := l.processes[other]
		if o.machine.Leader() == id || p.machine.Leader() == other {
			l.call(o, id, func(*process) {})
		}
	}
}

// empty ends a process and starts it again after a while with an empty disk.
func (l *timeline) empty(id string, silent bool, downTime time.Duration) {
	l.kill(id, silent)
	l.after(downTime, func() {
		delete(l.processes, id)
		l.found(fmt.Sprintf("w%d@%s", l.nextSeq, AddressOf(id)), nil)
	})
}

// leader returns the running process that leads in the highest term.
func (l *timeline) leader() *process {
	var leader *process
	for _, p := range l.processes {
		if !p.down && p.machine.Role() == replicator.Leader && (leader == nil || p.machine.Term() > leader.machine.Term()) {
			leader = p
		}
	}
	return leader
}

// others returns the identities of the running processes but one, sorted.
func (l *timeline) others(id string) []string {
	var others []string
	for other, p := range l.processes {
		if other != id && !p.down {
			others = append(others, other)
		}
	}
	slices.Sort(others)
	return others
}

// settled reports whether a leader has all running processes as voters, and no other.
func (l *timeline) settled() bool {
	leader := l.leader()
	if leader == nil {
		return false
	}
	voters := slices.Sorted(slices.Values(leader.machine.Voters()))
	return slices.Equal(voters, l.others("")) && leader.machine.CommitIndex() == leader.machine.AppliedIndex()
}
