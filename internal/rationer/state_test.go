package rationer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestServicesThatAreNotRationedHaveNoState guards against a cost or a decision where no
// priorities are declared.
func TestServicesThatAreNotRationedHaveNoState(t *testing.T) {
	r := New()
	r.Update(ConfigurationMsg{Services: []Service{{Name: "s", Priorities: []int{0, 1}}}})
	req := Request{Service: "other", Model: "m", Organisation: "o", Fingerprint: 1, Work: 1, Utilization: 1, Now: time.Second}
	for _, msg := range []Msg{RequestMsg{req}, RefusedMsg{Request: req, Short: true}, AdmittedMsg{req}} {
		r.Update(msg)
	}
	assert.Equal(t, r.Decide(req), Decision{Fill: 1})
	assert.Equal(t, r.Fraction(req, 0.5), 0.5)
	assert.Equal(t, r.DemandFactor(req), 1.0)
	assert.Equal(t, len(r.pools), 0)
	assert.Equal(t, r.refused, [maxRefused]refusal{})
}

// TestStateIsBounded guards against memory that grows with the organisations and kinds
// of a configuration, and against idle ones that take the place of busy ones.
func TestStateIsBounded(t *testing.T) {
	r := New()
	r.Update(ConfigurationMsg{Services: []Service{{Name: "s", Priorities: []int{0}}}})
	for i := range 10 * maxParties {
		r.Update(RequestMsg{Request{Service: "s", Model: "m", Organisation: fmt.Sprint(i), Kind: fmt.Sprint(i), Work: 1, Now: time.Second}})
	}
	p := r.pools[poolKey{"s", "m"}]
	assert.Assert(t, len(p.parties) <= maxParties+1, "%d organisations", len(p.parties))
	assert.Assert(t, len(r.services["s"].kinds) <= maxKinds+1)
	late := Request{Service: "s", Model: "m", Organisation: "late", Work: 1, Now: time.Minute}
	r.Update(RequestMsg{late})
	assert.Assert(t, p.parties["late"] != nil)
	assert.Equal(t, len(p.parties), 1)
}

// TestConfigurationChangeTakesEffectWithTheNextRequest guards against decisions by
// priorities that are no longer declared.
func TestConfigurationChangeTakesEffectWithTheNextRequest(t *testing.T) {
	r := New()
	req := Request{Service: "s", Model: "m", Organisation: "o", Kind: "k", Priority: 1, Work: 1, Utilization: 1, Now: time.Second}
	urgent := req
	urgent.Priority = 0
	declare := func(priorities ...int) {
		r.Update(ConfigurationMsg{Services: []Service{{Name: "s", Priorities: priorities}}})
	}
	declare(0, 1)
	for range 3 {
		r.Update(RequestMsg{urgent})
		r.Update(AdmittedMsg{urgent})
		r.Update(RequestMsg{req})
		r.Update(AdmittedMsg{req})
	}
	assert.Equal(t, r.Decide(req).Reason, LessUrgent)
	declare(0, 1)
	assert.Equal(t, r.Decide(req).Reason, LessUrgent, "the same configuration must keep the state")
	declare(1, 2)
	assert.Equal(t, r.Decide(req), Decision{Fill: 1, Ranks: 2, Rank: 0})
	r.Update(ConfigurationMsg{})
	assert.Equal(t, r.Decide(req), Decision{Fill: 1})
	assert.Equal(t, len(r.pools), 0)
}

// TestShortageEnds guards against a rationer that goes on once the slots are free, and
// against one that forgets a shortage between two requests.
func TestShortageEnds(t *testing.T) {
	r := New()
	r.Update(ConfigurationMsg{Services: []Service{{Name: "s", Priorities: []int{0, 1}}}})
	req := Request{Service: "s", Model: "m", Organisation: "o", Kind: "k", Priority: 1, Work: 1, Utilization: 0.6, Now: time.Second}
	urgent := req
	urgent.Priority = 0
	r.Update(RequestMsg{urgent})
	r.Update(RequestMsg{req})
	assert.Equal(t, r.Decide(req).Reason, Reason(""))
	r.Update(RefusedMsg{Request: urgent, Short: true})
	assert.Equal(t, r.Decide(req).Reason, LessUrgent)
	req.Utilization = freeUtilization - 0.01
	assert.Equal(t, r.Decide(req).Reason, Reason(""))
	req.Utilization, req.Now = 0.6, time.Second+shortPeriod
	assert.Equal(t, r.Decide(req).Reason, Reason(""))
}

// TestRequestsThatComeBackCountOnce guards against a larger share, or more instances, for
// clients that repeat what was refused.
func TestRequestsThatComeBackCountOnce(t *testing.T) {
	r := New()
	r.Update(ConfigurationMsg{Services: []Service{{Name: "s", Priorities: []int{0, 1}}}})
	req := Request{Service: "s", Model: "m", Organisation: "o", Kind: "k", Fingerprint: 9, Work: 1, Utilization: 0.9, Now: time.Second}
	r.Update(RequestMsg{req})
	r.Update(RefusedMsg{Request: req, Short: true})
	before := r.pools[poolKey{"s", "m"}].parties["o"].asked
	req.Now += 20 * time.Millisecond
	r.Update(RequestMsg{req})
	assert.Equal(t, r.Decide(req).Reason, TooEarly)
	assert.Equal(t, r.DemandFactor(req), 0.0)
	assert.Equal(t, r.pools[poolKey{"s", "m"}].parties["o"].asked.sum, before.sum)
	req.Now += repeatPeriod
	assert.Equal(t, r.Decide(req).Reason, Reason(""))
}

func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{24, maxParties} {
		b.Run(fmt.Sprintf("organisations-%d", n), func(b *testing.B) {
			r := New()
			r.Update(ConfigurationMsg{Services: []Service{{Name: "s", Priorities: []int{0, 1, 2}}}})
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprint("o", i)
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				req := Request{Service: "s", Model: "m", Organisation: names[i%n], Kind: "k", Fingerprint: uint64(i), Priority: i % 3, Work: 1, Utilization: 0.9, Now: time.Duration(i) * time.Millisecond}
				r.Update(RequestMsg{req})
				if !r.Decide(req).Refused {
					r.Update(AdmittedMsg{req})
				}
			}
		})
	}
}

// TestFactorsDoNotFollowChance guards against instances that change models because an
// entry with few requests happens to refuse more urgent ones: two kinds on two models
// are served equally often.
func TestFactorsDoNotFollowChance(t *testing.T) {
	r, random := New(), rand.New(rand.NewPCG(9, 9))
	r.Update(ConfigurationMsg{Services: []Service{{Name: "s", Priorities: []int{0, 1}}}})
	sum, n := 0.0, 0
	for i := range 10_000 { // Two requests of each kind in a second.
		req := Request{Service: "s", Model: fmt.Sprint(i % 2), Organisation: "o", Kind: "k", Priority: i % 2, Fingerprint: uint64(i) + 1, Work: 1, Now: time.Duration(i) * 250 * time.Millisecond}
		r.Update(RequestMsg{req})
		if random.IntN(2) == 0 {
			r.Update(AdmittedMsg{req})
		}
		req.Fingerprint = 0
		if req.Priority == 0 {
			sum, n = sum+r.DemandFactor(req), n+1
		}
	}
	t.Logf("mean factor %.3f", sum/float64(n))
	assert.Assert(t, sum/float64(n) <= 1.1)
}

// TestFractionOfAllEntriesExpires guards against floors by a report that is no longer
// true, when control is out of reach, and against impossible reports.
func TestFractionOfAllEntriesExpires(t *testing.T) {
	r := New()
	r.Update(ConfigurationMsg{Services: []Service{{Name: "s", Priorities: []int{0, 1}}}})
	s := r.services["s"]
	assert.Equal(t, s.mean(time.Second), 1.0)
	r.Update(ServedMsg{Now: time.Second, Service: "s", Fraction: 0.4})
	r.Update(ServedMsg{Now: time.Second, Service: "other", Fraction: 0.1})
	assert.Equal(t, s.mean(time.Second+fractionTTL-1), 0.4)
	assert.Equal(t, s.mean(time.Second+fractionTTL), 1.0)
	r.Update(ServedMsg{Now: time.Minute, Service: "s", Fraction: 7})
	assert.Equal(t, s.mean(time.Minute), 1.0)
}
