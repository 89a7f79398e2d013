package rationer

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	simStep     = 5 * time.Millisecond
	simDuration = 60 * time.Second
	simWarmUp   = 10 * time.Second
	// simSlots is the number of slots of a model.
	simSlots = 120
	// simTime is the mean time that a request holds a slot.
	simTime = time.Second
	// toldWait is when a refused client is told to come back; it does so patience times.
	toldWait = 1500 * time.Millisecond
	patience = 2
	// repeatWait and repeats are those of a client that doesn't wait.
	repeatWait = 60 * time.Millisecond
	repeats    = 20
)

// source is a stream of requests of one organisation and kind.
type source struct {
	organisation, kind, model string
	priority                  int
	rate                      float64                     // rate is the number of requests in a second.
	burst                     func(at time.Duration) bool // burst, if set, says when requests arrive.
	impatient                 bool                        // impatient clients repeat at once.
}

// outcome counts first requests and those that were served at last.
type outcome struct{ asked, served, large, largeServed float64 }

func (o outcome) ratio() float64 { return o.served / max(o.asked, 1) }

// call is one request of a client.
type call struct {
	Request
	source  source
	length  time.Duration
	tries   int
	counted bool
}

// simulation is an entry in front of models with slots. Without rationing, whoever comes
// while a slot is free is served.
type simulation struct {
	rationer   *Rationer
	random     *rand.Rand
	slots      map[string]float64
	load       map[string]int
	ends       map[time.Duration][]string
	returns    map[time.Duration][]call
	kinds      map[string]*outcome
	orgs       map[string]*outcome
	busy       float64 // busy is the slot time in use, in seconds.
	unforced   int     // unforced counts the requests that were refused although the model had as good as all slots free.
	perform    func(s *simulation, now time.Duration)
	demand     map[string]float64
	nextFinger uint64
}

// simulate offers the sources to the models and returns what was served. Without
// priorities nothing is rationed.
func simulate(sources []source, priorities []int, opts ...func(*simulation)) *simulation {
	s := &simulation{
		rationer: New(), random: rand.New(rand.NewPCG(7, 7)), slots: map[string]float64{"m": simSlots, "n": simSlots}, load: map[string]int{}, ends: map[time.Duration][]string{}, returns: map[time.Duration][]call{},
		kinds: map[string]*outcome{}, orgs: map[string]*outcome{}, demand: map[string]float64{},
	}
	for _, opt := range opts {
		opt(s)
	}
	if priorities != nil {
		s.rationer.Update(ConfigurationMsg{Services: []Service{{Name: "s", Priorities: priorities}}})
	}
	for now := simStep; now < simDuration; now += simStep {
		s.step(now, sources)
	}
	return s
}

func (s *simulation) step(now time.Duration, sources []source) {
	for _, model := range s.ends[now] {
		s.load[model]--
	}
	calls := s.returns[now]
	for _, src := range sources {
		if src.burst != nil && !src.burst(now) {
			continue
		}
		for n := src.rate * simStep.Seconds(); s.random.Float64() < n; n-- {
			calls = append(calls, s.newCall(now, src))
		}
	}
	s.random.Shuffle(len(calls), func(i, j int) { calls[i], calls[j] = calls[j], calls[i] })
	for _, c := range calls {
		s.serve(now, c)
	}
	for _, load := range s.load {
		s.busy += float64(load) * simStep.Seconds()
	}
	if s.perform != nil {
		s.perform(s, now)
	}
	delete(s.ends, now)
	delete(s.returns, now)
}

func (s *simulation) newCall(now time.Duration, src source) call {
	s.nextFinger++
	length := time.Duration(s.random.ExpFloat64()*float64(simTime)).Truncate(simStep) + simStep
	c := call{source: src, length: length, counted: now > simWarmUp && now < simDuration-5*time.Second}
	c.Request = Request{Service: "s", Model: src.model, Organisation: src.organisation, Kind: src.kind, Priority: src.priority, Fingerprint: s.nextFinger, Work: length.Seconds()}
	s.count(c, func(o *outcome) { o.asked++ }, func(o *outcome) { o.large++ })
	return c
}

// count counts a call for its kind and its organisation; those among the largest tenth
// also as large ones.
func (s *simulation) count(c call, all, large func(*outcome)) {
	if !c.counted {
		return
	}
	for name, outcomes := range map[string]map[string]*outcome{c.Kind: s.kinds, c.Organisation: s.orgs} {
		if outcomes[name] == nil {
			outcomes[name] = &outcome{}
		}
		all(outcomes[name])
		if c.length.Seconds() > 2.3*simTime.Seconds() { // ln 10 times the mean
			large(outcomes[name])
		}
	}
}

// serve decides on a request as an entry does.
func (s *simulation) serve(now time.Duration, c call) {
	c.Now = now
	c.Returned = c.tries > 0 && !c.source.impatient
	c.Utilization = float64(s.load[c.Model]) / s.slots[c.Model]
	s.demand[c.Model] += c.Work * s.rationer.DemandFactor(c.Request)
	s.rationer.Update(RequestMsg{c.Request})
	d := s.rationer.Decide(c.Request)
	if !d.Refused && float64(s.load[c.Model]) < d.Fill*targetUtilization*s.slots[c.Model] {
		s.rationer.Update(AdmittedMsg{c.Request})
		s.load[c.Model]++
		s.ends[now+c.length] = append(s.ends[now+c.length], c.Model)
		s.count(c, func(o *outcome) { o.served++ }, func(o *outcome) { o.largeServed++ })
		return
	}
	if c.Utilization < freeUtilization {
		s.unforced++
	}
	s.rationer.Update(RefusedMsg{Request: c.Request, Short: !d.Refused && d.Fill == 1})
	wait, limit := toldWait+time.Duration(s.random.IntN(60))*simStep, patience
	if c.source.impatient {
		wait, limit = repeatWait, repeats
	}
	if c.tries++; c.tries <= limit {
		s.returns[now+wait] = append(s.returns[now+wait], c)
	}
}

// organisations returns one large organisation with a part of the rate and n small ones
// that share the rest evenly.
func organisations(n int, rate, large float64) []source {
	sources := []source{{organisation: "large", kind: "k0", model: "m", rate: rate * large}}
	for i := range n {
		sources = append(sources, source{organisation: fmt.Sprintf("small-%d", i), kind: "k0", model: "m", rate: rate * (1 - large) / float64(n)})
	}
	return sources
}
