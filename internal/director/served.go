package director

import (
	"maps"
	"slices"
	"time"

	"papayaseam/internal/messenger"
)

// servedCount is the number of requests that clients sent, and of those that entries
// sent to endpoints.
type servedCount struct{ asked, sent int }

// servedCounts holds the counts of the rationed services. It is empty where none is
// rationed.
type servedCounts map[demandKey]servedCount

// add adds what an entry reports. Numbers that cannot be are ignored.
func (c servedCounts) add(report messenger.DemandReport) {
	if report.Asked < 0 || report.Sent < 0 || report.Asked+report.Sent == 0 || max(report.Asked, report.Sent) > maxServedCount {
		return
	}
	key := demandKey{report.Service, report.Model}
	count := c[key]
	c[key] = servedCount{min(count.asked+report.Asked, maxServedCount), min(count.sent+report.Sent, maxServedCount)}
}

const (
	// maxServedCount is far above the requests of all entries in a window.
	maxServedCount = 1 << 30
	// maxServedServices bounds the services of a confirmation.
	maxServedServices = 16
)

// servedMeter sums the counts of all entries over the current window and the one before.
type servedMeter struct {
	windowStart       time.Duration
	current, previous servedCounts
}

// rotate starts a new window when the current one is over.
func (m *servedMeter) rotate(at time.Duration) {
	elapsed := at - m.windowStart
	if m.current != nil && elapsed <= demandWindow {
		return
	}
	m.previous = m.current
	if elapsed > 2*demandWindow {
		m.previous = nil
	}
	m.current, m.windowStart = servedCounts{}, at
}

func (m *servedMeter) add(at time.Duration, report messenger.DemandReport) {
	m.rotate(at)
	m.current.add(report)
}

// shares returns the fraction of the requests that was sent to endpoints, by service.
// It is empty where no service is rationed.
func (m *servedMeter) shares(at time.Duration) []messenger.ServedShare {
	m.rotate(at)
	sums := map[string]servedCount{}
	for _, counts := range []servedCounts{m.previous, m.current} {
		for key, count := range counts {
			sum := sums[key.service]
			sums[key.service] = servedCount{sum.asked + count.asked, sum.sent + count.sent}
		}
	}
	var shares []messenger.ServedShare
	for _, service := range slices.Sorted(maps.Keys(sums)) {
		if sum := sums[service]; sum.asked > 0 && len(shares) < maxServedServices {
			shares = append(shares, messenger.ServedShare{Service: service, Fraction: min(float64(sum.sent)/float64(sum.asked), 1)})
		}
	}
	return shares
}
