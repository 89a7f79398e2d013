// Package apportioner accounts for weighted shares of a capacity by virtual time. The
// leader of a group uses it to order its queue, and an entry, which has no queue, to
// refuse those who are above their share.
//
// # Usage
//
// With a queue, the account with the lowest virtual time starts next, and its starts
// advance the clock:
//
//	clock.CatchUp(account) // when the account was idle
//	clock.Start(account, 1)
//
// Without a queue nobody waits, so that the lowest virtual time of those who wait does
// not exist. The owner advances the clock by the level, which is the work that an
// account of weight 1 may have in the time that passed:
//
//	clock.Advance(apportioner.Level(capacity, demands) * seconds)
//	clock.CatchUp(account)
//	if clock.Lead(account) <= burst {
//		account.Charge(cost)
//	}
package apportioner

import (
	"cmp"
	"math"
	"slices"
)

// Account is the use of one party. The zero value has no use and weight 1.
type Account struct {
	Weight      int     // Weight is the share relative to other accounts; below 1 counts as 1.
	virtualTime float64 // virtualTime grows by cost/weight with each charge.
}

// weight returns the weight of the account, at least 1.
func (a *Account) weight() float64 { return float64(max(1, a.Weight)) }

// VirtualTime returns what the account was charged, divided by its weight.
func (a *Account) VirtualTime() float64 { return a.virtualTime }

// Charge adds a cost to the use of the account.
func (a *Account) Charge(cost float64) { a.virtualTime += cost / a.weight() }

// Clock is the virtual time of a capacity that accounts share.
type Clock struct{ now float64 }

// Now returns the virtual time.
func (c *Clock) Now() float64 { return c.now }

// CatchUp moves an account that was idle to the virtual time, so that it gains no
// credit from being idle.
func (c *Clock) CatchUp(a *Account) { a.virtualTime = max(a.virtualTime, c.now) }

// Start charges an account for work that was taken from a queue, and advances the clock
// to the virtual time at which the work started.
func (c *Clock) Start(a *Account, cost float64) {
	c.now = max(c.now, a.virtualTime)
	a.Charge(cost)
}

// Advance moves the clock of a capacity without a queue.
func (c *Clock) Advance(by float64) { c.now += max(by, 0) }

// Lead returns how far an account is ahead of the virtual time; 0 or less means that it
// is within its share.
func (c *Clock) Lead(a *Account) float64 { return a.virtualTime - c.now }

// Forgive moves an account that is ahead of the virtual time back to it.
func (c *Clock) Forgive(a *Account) { a.virtualTime = min(a.virtualTime, c.now) }

// Demand is the work that an account of some weight asks for.
type Demand struct {
	Weight int
	Work   float64
}

// Level returns the largest work for each unit of weight at which the demands fit into
// the capacity (the weighted max-min share): a demand below its share gets all that it
// asks for, and what it leaves is shared by the others. It is infinite if all fit.
// The demands are reordered.
func Level(capacity float64, demands []Demand) float64 {
	weightLeft := 0.0
	for i := range demands {
		demands[i].Weight = max(1, demands[i].Weight)
		weightLeft += float64(demands[i].Weight)
	}
	slices.SortFunc(demands, func(a, b Demand) int {
		return cmp.Compare(a.Work/float64(a.Weight), b.Work/float64(b.Weight))
	})
	left := max(capacity, 0)
	for _, d := range demands {
		if level := left / weightLeft; d.Work > level*float64(d.Weight) {
			return level
		}
		left -= d.Work
		weightLeft -= float64(d.Weight)
	}
	return math.Inf(1)
}

// Ordered returns how much of each demand to serve if the earlier ones take precedence.
// Each keeps at least the fraction floor of what it would get if all were served
// equally often. All together get the fraction of the total demand.
func Ordered(fraction, floor float64, demands []float64) []float64 {
	served := make([]float64, len(demands))
	left := 0.0
	for i, demand := range demands {
		served[i] = demand * fraction * floor
		left += demand*fraction - served[i]
	}
	for i, demand := range demands {
		more := min(demand-served[i], left)
		served[i] += more
		left -= more
	}
	return served
}
