package rationer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"papayaseam/internal/chooser"
	"papayaseam/internal/messenger"

	"gotest.tools/v3/assert"
)

const (
	entryCount  = 12
	groupCount  = 12
	groupSlots  = 32
	entryStep   = 10 * time.Millisecond
	entriesEnd  = 40 * time.Second
	viewEvery   = 180 * time.Millisecond
	viewAge     = 55 // viewAge is the age of a view in steps.
	answerDelay = 150 * time.Millisecond
)

// entries is a fleet of entries, each with its own rationer and a view of the groups'
// loads that is half a second old, in front of the groups of one model.
type entries struct {
	choosers  []*chooser.Chooser
	rationers []*Rationer
	random    *rand.Rand
	load      []int
	past      [][]int
	ends      map[time.Duration][][2]int
	answers   map[time.Duration][][2]int
	returns   map[time.Duration][]entryCall
	kinds     map[string]*outcome
	orgs      map[string]*outcome
	busy      float64
	finger    uint64
	synced    bool   // synced means that entries hear which fraction of all requests was sent.
	all       tally  // all counts the requests of all entries.
	pinned    string // pinned is the organisation whose clients use two entries only.
}

type entryCall struct {
	Request
	length  time.Duration
	tries   int
	counted bool
}

func newEntries(priorities []int) *entries {
	s := &entries{
		random: rand.New(rand.NewPCG(13, 13)), load: make([]int, groupCount), ends: map[time.Duration][][2]int{}, answers: map[time.Duration][][2]int{}, returns: map[time.Duration][]entryCall{},
		kinds: map[string]*outcome{}, orgs: map[string]*outcome{},
	}
	for i := range entryCount {
		name := fmt.Sprintf("entry-%d", i)
		s.choosers = append(s.choosers, chooser.New(fmt.Sprintf("d%d", i%3), chooser.WithSeed(uint64(i)+1), chooser.WithName(name)))
		s.rationers = append(s.rationers, New())
		if priorities != nil {
			s.rationers[i].Update(ConfigurationMsg{Services: []Service{{Name: "s", Priorities: priorities}}})
		}
	}
	return s
}

// view returns the fleet with the loads of a moment ago.
func (s *entries) view(now time.Duration) chooser.FleetMsg {
	loads := s.past[max(0, len(s.past)-viewAge)]
	msg := chooser.FleetMsg{Now: now, EntryCount: entryCount}
	for i, load := range loads {
		id := fmt.Sprintf("e%d", i)
		msg.Endpoints = append(msg.Endpoints, messenger.EndpointView{Instance: id, Born: 1, Service: "s", Slots: groupSlots, FailureDomain: fmt.Sprintf("d%d", i%3)})
		msg.Groups = append(msg.Groups, messenger.GroupView{Name: "g" + id, Epoch: 1, Service: "s", Model: "m", Members: []string{id}, Open: true, Active: min(load, groupSlots), Queued: max(load-groupSlots, 0)})
	}
	return msg
}

func (s *entries) run(sources []source) {
	for now := entryStep; now < entriesEnd; now += entryStep {
		s.past = append(s.past, append([]int(nil), s.load...))
		s.settle(now)
		if s.synced && now%viewEvery == 0 {
			s.sync(now)
		}
		for i, c := range s.choosers {
			if (now+time.Duration(i)*entryStep)%viewEvery == 0 {
				c.Update(s.view(now))
			}
		}
		calls := s.returns[now]
		for _, src := range sources {
			for n := src.rate * entryStep.Seconds(); s.random.Float64() < n; n-- {
				calls = append(calls, s.newCall(now, src))
			}
		}
		s.random.Shuffle(len(calls), func(i, j int) { calls[i], calls[j] = calls[j], calls[i] })
		for _, c := range calls {
			s.serve(now, c)
		}
		for _, load := range s.load {
			s.busy += float64(min(load, groupSlots)) * entryStep.Seconds()
		}
	}
}

// sync tells the entries what control has summed up of their reports.
func (s *entries) sync(now time.Duration) {
	fraction := s.all.ratio(now)
	for _, r := range s.rationers {
		r.Update(ServedMsg{Now: now, Service: "s", Fraction: fraction})
		for _, c := range r.TakeCounts() {
			s.all.asked.add(now, float64(c.Asked))
			s.all.served.add(now, float64(c.Sent))
		}
	}
}

// settle ends the requests and delivers the loads that are due.
func (s *entries) settle(now time.Duration) {
	for _, end := range s.ends[now] {
		s.load[end[1]]--
		s.choosers[end[0]].Update(chooser.AttemptEndedMsg{ID: fmt.Sprintf("e%d", end[1]), Now: now})
	}
	for _, answer := range s.answers[now] {
		load := s.load[answer[1]]
		s.choosers[answer[0]].Update(chooser.LoadMsg{Now: now, ID: fmt.Sprintf("e%d", answer[1]), Running: min(load, groupSlots), Waiting: max(load-groupSlots, 0)})
	}
	delete(s.ends, now)
	delete(s.answers, now)
}

func (s *entries) newCall(now time.Duration, src source) entryCall {
	s.finger++
	length := time.Duration(s.random.ExpFloat64()*float64(simTime)).Truncate(entryStep) + entryStep
	c := entryCall{length: length, counted: now > simWarmUp && now < entriesEnd-5*time.Second}
	c.Request = Request{Service: "s", Model: "m", Organisation: src.organisation, Kind: src.kind, Priority: src.priority, Fingerprint: s.finger, Work: length.Seconds()}
	s.count(c, func(o *outcome) { o.asked++ }, func(o *outcome) { o.large++ })
	return c
}

func (s *entries) count(c entryCall, all, large func(*outcome)) {
	sim := simulation{kinds: s.kinds, orgs: s.orgs}
	sim.count(call{Request: c.Request, length: c.length, counted: c.counted}, all, large)
}

// serve sends a request to a random entry, which decides on it.
func (s *entries) serve(now time.Duration, c entryCall) {
	i := s.random.IntN(entryCount)
	if c.Organisation == s.pinned {
		i %= 2
	}
	ration, choose := s.rationers[i], s.choosers[i]
	urgency := chooser.Normal
	if c.tries > 0 {
		urgency = chooser.Overdue
	}
	c.Now, c.Utilization, c.Returned = now, choose.Utilization("s", "m"), c.tries > 0
	ration.Update(RequestMsg{c.Request})
	d := ration.Decide(c.Request)
	target, ok := choose.Pick(chooser.Request{Service: "s", Model: "m", Urgency: urgency, Fill: d.Fill, Now: now})
	if ok && !d.Refused {
		var group int
		_, _ = fmt.Sscanf(target.ID, "e%d", &group)
		choose.Update(chooser.AttemptStartedMsg{ID: target.ID})
		ration.Update(AdmittedMsg{c.Request})
		s.load[group]++
		s.ends[now+c.length] = append(s.ends[now+c.length], [2]int{i, group})
		s.answers[now+answerDelay] = append(s.answers[now+answerDelay], [2]int{i, group})
		s.count(c, func(o *outcome) { o.served++ }, func(o *outcome) { o.largeServed++ })
		return
	}
	ration.Update(RefusedMsg{Request: c.Request, Short: !d.Refused && d.Fill == 1 && urgency == chooser.Normal})
	if c.tries++; c.tries <= 1 {
		wait := toldWait + time.Duration(s.random.IntN(50))*entryStep
		s.returns[now+wait] = append(s.returns[now+wait], c)
	}
}

// TestEntriesWithLocalViews is the load of 24 organisations of very uneven size and three
// kinds of different priority on one model, spread over twelve entries that know nothing
// of each other and see loads of half a second ago. The smallest organisation sends a
// request to each entry in ten to thirty seconds.
func TestEntriesWithLocalViews(t *testing.T) {
	capacity := targetUtilization * groupSlots * groupCount / simTime.Seconds()
	for _, factor := range []float64{1.3, 2, 3} {
		total := 0.0
		for i := range 24 {
			total += math.Pow(0.8, float64(i))
		}
		var sources []source
		for i := range 24 {
			for kind := range 3 {
				sources = append(sources, source{organisation: fmt.Sprintf("o%d", i), kind: fmt.Sprintf("k%d", kind), priority: kind, rate: factor * capacity * math.Pow(0.8, float64(i)) / total / 3})
			}
		}
		open, rationed := newEntries(nil), newEntries([]int{0, 1, 2})
		open.run(sources)
		rationed.run(sources)
		for _, s := range []*entries{open, rationed} {
			t.Logf("%.1f times the capacity: kinds %.3f %.3f %.3f, organisations %.3f %.3f %.3f, busy %.0f", factor, s.kinds["k0"].ratio(), s.kinds["k1"].ratio(), s.kinds["k2"].ratio(),
				s.orgs["o0"].ratio(), s.orgs["o8"].ratio(), s.orgs["o23"].ratio(), s.busy)
		}
		result := &simulation{kinds: rationed.kinds, orgs: rationed.orgs}
		assertGate(t, result)
		assertOrder(t, result)
		assert.Check(t, rationed.busy >= 0.95*open.busy, "%.0f of %.0f", rationed.busy, open.busy)
	}
}

// TestOrganisationAtTwoEntries is the load of an organisation with half of all requests
// whose clients use two of twelve entries. At these two, it is served about as often as
// all are, so that it would starve if these entries did not hear how often the others serve.
func TestOrganisationAtTwoEntries(t *testing.T) {
	capacity := targetUtilization * groupSlots * groupCount / simTime.Seconds()
	open, alone, rationed := newEntries(nil), newEntries([]int{0}), newEntries([]int{0})
	rationed.synced = true
	for _, s := range []*entries{open, alone, rationed} {
		s.pinned = "large"
		s.run(organisations(23, 2*capacity, 0.5))
		result := &simulation{kinds: s.kinds, orgs: s.orgs}
		t.Logf("large %.3f, smallest of the others %.3f, all %.3f, busy %.0f", s.orgs["large"].ratio(), smallest(result), mean(s.orgs), s.busy)
	}
	assertGate(t, &simulation{kinds: rationed.kinds, orgs: rationed.orgs})
	assert.Check(t, rationed.busy >= 0.95*open.busy, "%.0f of %.0f", rationed.busy, open.busy)
}
