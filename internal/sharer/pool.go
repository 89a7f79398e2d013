package sharer

import (
	"cmp"
	"slices"
	"time"
)

// holderPreference multiplies the demand of an entry that holds a share already. Moving a
// share takes Validity, in which nobody uses it.
const holderPreference = 2

// grant is one share that may be in use until it expires.
type grant struct {
	share float64
	until time.Duration
}

// pool is what is granted of the rate of one pool.
type pool struct {
	key        Pool
	rate       float64
	coldAt     time.Duration // coldAt is when the pool last had cold endpoints.
	targets    map[string]float64
	targetedAt time.Duration
	grants     map[string][]grant // grants holds what each entry may use, largest and oldest first.
}

func (p *pool) active(now time.Duration) bool { return now-p.coldAt <= linger }

// dropExpired removes the grants that can no longer be in use.
func (p *pool) dropExpired(now time.Duration) {
	for name, list := range p.grants {
		for len(list) > 0 && list[0].until <= now {
			list = list[1:]
		}
		if len(list) == 0 {
			delete(p.grants, name)
			continue
		}
		p.grants[name] = list
	}
}

// grant returns the share that an entry may use from now on: its target, as far as the
// shares that others may be using leave room. The number of entries with a share is
// bounded as well, as each may send one request more than its rate in any time. The caller
// has dropped expired grants.
func (p *pool) grant(name string, now time.Duration, maxHolders int) float64 {
	room := 1.0
	for other, list := range p.grants {
		if other != name {
			room -= list[0].share
		}
	}
	share := min(p.targets[name], room)
	if share < minShare || (len(p.grants[name]) == 0 && len(p.grants) >= maxHolders) {
		return 0
	}
	list := p.grants[name]
	for len(list) > 0 && list[len(list)-1].share <= share {
		list = list[:len(list)-1]
	}
	p.grants[name] = append(list, grant{share, now + Validity + driftMargin})
	return share
}

// retarget computes the shares that entries should have, if that was long ago or an entry
// asks that had none. Half of the rate follows the demand.
func (s *Sharer) retarget(p *pool, msg AskMsg) {
	joined := slices.ContainsFunc(msg.Entries, func(name string) bool {
		_, ok := p.targets[name]
		return !ok
	})
	if !joined && msg.Now-p.targetedAt < retargetInterval {
		return
	}
	live := s.live(msg.Now)
	holders := s.chooseHolders(p, live)
	total := 0.0
	for _, name := range holders {
		total += s.entries[name].work[p.key.Service]
	}
	targets := map[string]float64{}
	for _, name := range live {
		targets[name] = 0
	}
	for _, name := range holders {
		even := 1 / float64(len(holders))
		targets[name] = even
		if total > 0 {
			targets[name] = evenPart*even + (1-evenPart)*s.entries[name].work[p.key.Service]/total
		}
	}
	p.targets, p.targetedAt = targets, msg.Now
}

// chooseHolders returns the entries among which a pool's rate is divided: all of them
// where they are few, and otherwise those with most demand, those in the endpoints' own
// failure domain first.
func (s *Sharer) chooseHolders(p *pool, live []string) []string {
	limit := s.maxHolders(p.rate)
	if len(live) <= limit {
		return live
	}
	demand := func(name string) float64 {
		work := s.entries[name].work[p.key.Service]
		if len(p.grants[name]) > 0 {
			work *= holderPreference
		}
		return work
	}
	rank := func(name string) int {
		switch {
		case demand(name) > 0 && s.entries[name].domain == p.key.FailureDomain:
			return 0
		case demand(name) > 0:
			return 1
		}
		return 2
	}
	holds := func(name string) int { return min(len(p.grants[name]), 1) }
	ranked := slices.Clone(live)
	slices.SortStableFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(demand(b), demand(a)), cmp.Compare(holds(b), holds(a)))
	})
	return ranked[:limit]
}

// maxHolders returns the number of entries that may hold shares of a pool at once. With
// the rate and what arrives late, one request more of each stays within the bound. Each
// gets at least one request a second on average.
func (s *Sharer) maxHolders(rate float64) int {
	spare := (s.options.overage-1-transitSpread.Seconds())*rate + s.options.slack
	return max(int(min(spare, rate)), 1)
}
