package limiter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const segment = 64 << 10

// harness answers evictions as a process does: the body ends.
type harness struct {
	*Limiter
	asks    uint64
	granted map[uint64]bool
	refused map[uint64]bool
	evicted []uint64
}

func newHarness(budget int, opts ...Option) *harness {
	return &harness{Limiter: New(budget, opts...), granted: map[uint64]bool{}, refused: map[uint64]bool{}}
}

// send sends a message and records the effects; it returns the bodies to end.
func (h *harness) send(msg Msg) []uint64 {
	var ending []uint64
	for _, effect := range h.Update(msg) {
		switch effect := effect.(type) {
		case GrantEffect:
			h.granted[effect.Ask] = true
		case RefuseEffect:
			h.refused[effect.Ask] = true
		case EvictEffect:
			ending = append(ending, effect.ID)
			h.evicted = append(h.evicted, effect.ID)
		}
	}
	return ending
}

// ask asks for bytes, ends what is evicted, and reports whether they were granted.
func (h *harness) ask(id uint64, bytes int, now time.Duration) bool {
	h.asks++
	n := h.asks
	for _, ending := range h.send(AskMsg{ID: id, Ask: n, Bytes: bytes, Now: now}) {
		h.send(EndMsg{ID: ending})
	}
	return h.granted[n]
}

// TestStalledBodiesGiveWay has 120 bodies that stop just short of 4 MB with a budget of 46 MB,
// a client flood on an entry of 184 MB, and then an ordinary one: it is served, and those that
// stalled longest have ended for it.
func TestStalledBodiesGiveWay(t *testing.T) {
	const budget = 46 << 20
	h := newHarness(budget)
	now := time.Duration(0)
	for id := range uint64(120) {
		h.send(BeginMsg{ID: id, Now: now})
		for range 63 {
			now += time.Millisecond
			if !h.ask(id, segment, now) {
				h.send(EndMsg{ID: id})
				break
			}
		}
		assert.Assert(t, h.Used() <= budget)
	}
	now += time.Second
	h.evicted = nil
	h.send(BeginMsg{ID: 1000, Now: now})
	for range 64 {
		now += time.Millisecond
		assert.Assert(t, h.ask(1000, segment, now))
	}
	assert.Assert(t, len(h.evicted) > 0)
	assert.Assert(t, h.Used() <= budget)
	first := h.bodies[h.evicted[0]]
	assert.Assert(t, first == nil, "an evicted body still holds bytes")
	for id, b := range h.bodies {
		assert.Assert(t, id > h.evicted[0], "body %d stalled longer than one that was evicted, %v", id, b)
	}
}

// Guards against the eviction of a body that makes progress or whose request is in progress.
func TestOnlyStalledBodiesAreEvicted(t *testing.T) {
	h := newHarness(4 * segment)
	h.send(BeginMsg{ID: 1})
	h.send(BeginMsg{ID: 2})
	h.send(BeginMsg{ID: 3})
	assert.Assert(t, h.ask(1, 2*segment, 0))
	assert.Assert(t, h.ask(2, segment, 0))
	h.send(CompleteMsg{ID: 1})
	assert.Assert(t, h.ask(2, segment, time.Second))
	assert.Assert(t, !h.ask(3, segment, time.Second+defaultStallTime-1))
	assert.Equal(t, len(h.evicted), 0)
	assert.Assert(t, h.ask(3, segment, time.Second+defaultStallTime))
	assert.DeepEqual(t, h.evicted, []uint64{2})
	assert.Assert(t, !h.ask(3, 2*segment, time.Hour), "a complete body must not give way")
}

// Guards against an asker that gets bytes before those it takes have been returned.
func TestAskWaitsForTheEvicted(t *testing.T) {
	h := newHarness(2 * segment)
	h.send(BeginMsg{ID: 1})
	assert.Assert(t, h.ask(1, 2*segment, 0))
	h.send(BeginMsg{ID: 2, Now: time.Second})
	ending := h.send(AskMsg{ID: 2, Ask: 70, Bytes: segment, Now: time.Second})
	assert.DeepEqual(t, ending, []uint64{1})
	assert.Assert(t, !h.granted[70])
	assert.Equal(t, len(h.send(AskMsg{ID: 1, Ask: 71, Bytes: segment, Now: time.Second})), 0)
	assert.Assert(t, h.refused[71], "an evicted body gets nothing more")
	h.send(EndMsg{ID: 1})
	assert.Assert(t, h.granted[70])
	h.send(EndMsg{ID: 1})
	assert.Equal(t, h.Used(), segment, "bytes are returned once")
}

// Guards against a limit of one body above the budget that makes such bodies never served.
func TestLoneBodyIsAlwaysGranted(t *testing.T) {
	h := newHarness(segment)
	h.send(BeginMsg{ID: 1})
	assert.Assert(t, h.ask(1, 10*segment, 0))
	assert.Assert(t, h.ask(1, segment, 0))
	h.send(BeginMsg{ID: 2})
	assert.Assert(t, !h.ask(2, segment, 0))
	assert.Assert(t, h.ask(2, 10*segment, time.Second), "a stalled body above the budget gives way")
}

// TestBudgetHoldsUnderAnyOrder sends messages in any order, with evicted bodies that end late:
// what is held stays within the budget but for a lone body, each ask is answered once, and
// nothing is held once all have ended.
func TestBudgetHoldsUnderAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(8 * segment)
		now, asked := time.Duration(0), uint64(0)
		open := map[uint64]bool{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			id := rapid.Uint64Range(1, 6).Draw(t, "id")
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0, 1, 2:
				open[id] = true
				h.send(BeginMsg{ID: id, Now: now})
				asked++
				h.send(AskMsg{ID: id, Ask: asked, Bytes: rapid.IntRange(1, 5).Draw(t, "segments") * segment, Now: now})
			case 3:
				h.send(CompleteMsg{ID: id})
			case 4:
				h.send(ReturnMsg{ID: id, Bytes: rapid.IntRange(0, 3).Draw(t, "returned") * segment})
			case 5:
				delete(open, id)
				h.send(EndMsg{ID: id})
			}
			holders, sum := 0, 0
			for _, b := range h.bodies {
				sum += b.held
				if b.held > 0 {
					holders++
				}
			}
			if sum != h.Used() || (holders > 1 && sum > 8*segment) {
				t.Fatalf("%d bodies hold %d, counted %d", holders, sum, h.Used())
			}
		}
		for id := range open {
			h.send(EndMsg{ID: id})
		}
		if h.Used() != 0 || len(h.queue) != 0 {
			t.Fatalf("%d bytes and %d asks are left", h.Used(), len(h.queue))
		}
		for n := range asked {
			if h.granted[n+1] == h.refused[n+1] {
				t.Fatalf("ask %d: granted %v, refused %v", n+1, h.granted[n+1], h.refused[n+1])
			}
		}
	})
}
