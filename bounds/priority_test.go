package bounds

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestBoundsPriority drives twice the capacity by one organisation, a tenth of
// the load urgent: 95 in 100 of the urgent requests get their first token in
// time, and the rate of requests in time stays as without priorities.
func TestBoundsPriority(t *testing.T) {
	rate := map[bool]float64{}
	for _, urgent := range []bool{false, true} {
		o := options{
			groups: 6, entries: 10, lag: time.Second, chooser: ours{}, seed: 6, queue: 64, deadline: promise,
			owners: map[string]string{"counter": "o", "overnight": "o"},
		}
		if urgent {
			o.priorities = map[string]int{"counter": 5}
		}
		s := newSim(o)
		s.arrive("counter", 0.2*s.capacity(), long)
		s.arrive("overnight", 1.8*s.capacity(), long)
		s.run(long + time.Minute)
		counter, _ := s.kept("counter", warm, long)
		overnight, _ := s.kept("overnight", warm, long)
		_, rate[urgent] = s.kept("", warm, long)
		t.Logf("priorities %-5t: counter %.3f in time, overnight %.3f, %.2f requests/s in time", urgent, counter, overnight, rate[urgent])
		if urgent {
			assert.Assert(t, counter >= 0.95, "%.3f of the urgent requests in time", counter)
		}
	}
	assert.Assert(t, rate[true] >= 0.9*rate[false])
}
