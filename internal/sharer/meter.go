package sharer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// meterWindow is the time constant of the measured demand. It smooths over a few
	// sync requests of an entry.
	meterWindow = 2 * time.Second
	// meterForget is when the demand of an entry that reports none is negligible.
	meterForget = 5 * meterWindow
)

// Demand is the measured demand of one entry for one service, in work per second.
type Demand struct {
	Entry   string
	Service string
	Work    float64
}

type meterKey struct{ entry, service string }

type reading struct {
	rate float64
	at   time.Duration
}

// decayed returns the rate as of a later time.
func (r reading) decayed(now time.Duration) float64 {
	return r.rate * math.Exp(-(now-r.at).Seconds()/meterWindow.Seconds())
}

// Meter measures the demand of entries from the work that they report. It is a pure state
// machine, and not safe for concurrent use.
type Meter struct{ readings map[meterKey]reading }

// NewMeter returns a meter without readings.
func NewMeter() *Meter { return &Meter{readings: map[meterKey]reading{}} }

// WorkMsg carries the work that an entry was asked for since its last report.
type WorkMsg struct {
	Now     time.Duration
	Entry   string
	Service string
	Work    float64
}

// Update adds reported work.
func (m *Meter) Update(msg WorkMsg) {
	key := meterKey{msg.Entry, msg.Service}
	m.readings[key] = reading{rate: m.readings[key].decayed(msg.Now) + max(msg.Work, 0)/meterWindow.Seconds(), at: msg.Now}
}

// Demands returns the demand of all entries, sorted by entry and service.
func (m *Meter) Demands(now time.Duration) []Demand {
	maps.DeleteFunc(m.readings, func(_ meterKey, r reading) bool { return now-r.at > meterForget })
	list := make([]Demand, 0, len(m.readings))
	for key, r := range m.readings {
		list = append(list, Demand{Entry: key.entry, Service: key.service, Work: r.decayed(now)})
	}
	slices.SortFunc(list, func(a, b Demand) int { return cmp.Or(cmp.Compare(a.Entry, b.Entry), cmp.Compare(a.Service, b.Service)) })
	return list
}
