package transporter

import (
	"context"
	"sync/atomic"
	"time"

	"papayaseam/internal/limiter"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
)

const (
	// sweepInterval is far below all times that the sweep bounds, and costs little at some
	// thousand connections.
	sweepInterval = 250 * time.Millisecond
	// reportInterval bounds the log lines about bounds that were reached.
	reportInterval = 10 * time.Second
)

var (
	heldBytes           atomic.Int64
	_                   = metrics.NewGauge("papayaseam_body_bytes", func() float64 { return float64(heldBytes.Load()) })
	bodiesTooLong       = metrics.NewCounter(`papayaseam_limits_total{bound="body-length"}`)
	bodiesLate          = metrics.NewCounter(`papayaseam_limits_total{bound="body-time"}`)
	bodiesRefused       = metrics.NewCounter(`papayaseam_limits_total{bound="body-bytes"}`)
	bodiesEvicted       = metrics.NewCounter(`papayaseam_limits_total{bound="body-evicted"}`)
	headRefusals        = metrics.NewCounter(`papayaseam_limits_total{bound="head-bytes"}`)
	connectionEvictions = metrics.NewCounter(`papayaseam_limits_total{bound="connection-evicted"}`)
	connectionRefusals  = metrics.NewCounter(`papayaseam_limits_total{bound="connections"}`)
	addressRefusals     = metrics.NewCounter(`papayaseam_limits_total{bound="address-connections"}`)
	slowReaders         = metrics.NewCounter(`papayaseam_limits_total{bound="write-time"}`)
	slowEnds            = metrics.NewCounter(`papayaseam_limits_total{bound="finish-time"}`)
)

// boundCounters are the counters of the bounds in the order of the log line.
var boundCounters = []struct {
	name    string
	counter *metrics.Counter
}{
	{"body-length", bodiesTooLong},
	{"body-time", bodiesLate},
	{"body-bytes", bodiesRefused},
	{"body-evicted", bodiesEvicted},
	{"head-bytes", headRefusals},
	{"connection-evicted", connectionEvictions},
	{"connections", connectionRefusals},
	{"address-connections", addressRefusals},
	{"write-time", slowReaders},
	{"finish-time", slowEnds},
}

// countBound counts the bound that a body reached.
func countBound(err error) {
	switch {
	case errors.Is(err, ErrBodyTooLong):
		bodiesTooLong.Inc()
	case errors.Is(err, ErrBodyLate):
		bodiesLate.Inc()
	case errors.Is(err, ErrBodyRefused):
		bodiesRefused.Inc()
	case errors.Is(err, ErrBodyEvicted):
		bodiesEvicted.Inc()
	}
}

// Run bounds the times of bodies, writes and endings until the context ends.
func (l *Limits) Run(ctx context.Context) error {
	sweeps, reports := time.NewTicker(sweepInterval), time.NewTicker(reportInterval)
	defer sweeps.Stop()
	defer reports.Stop()
	counts := make([]uint64, len(boundCounters))
	for i, bound := range boundCounters {
		counts[i] = bound.counter.Get()
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-sweeps.C:
			l.sweep()
		case <-reports.C:
			l.report(counts)
		}
	}
}

// report logs one line if bounds were reached since the last one.
func (l *Limits) report(counts []uint64) {
	fields := []any{"body-bytes-held", heldBytes.Load()}
	for i, bound := range boundCounters {
		if n := bound.counter.Get(); n > counts[i] {
			fields = append(fields, bound.name, n-counts[i])
			counts[i] = n
		}
	}
	if len(fields) > 2 {
		l.log.Warn("limits reached", fields...)
	}
}

// sweep ends what is too slow on all ports.
func (l *Limits) sweep() {
	l.mu.Lock()
	ports := l.ports
	l.mu.Unlock()
	for _, p := range ports {
		p.mu.Lock()
		connections, views := p.view(nil, nil)
		p.mu.Unlock()
		now := l.now()
		for _, i := range l.bounds.TooSlow(views, now) {
			slowReaders.Inc()
			_ = connections[i].Close()
		}
		for _, c := range connections {
			l.checkBody(c, now)
		}
		l.endFinishing(connections, now)
	}
}

// checkBody stops a body that is too slow. One that its handler does not read is read by the HTTP
// library before a longer answer, and may never arrive.
func (l *Limits) checkBody(c *limitedConn, now time.Duration) {
	if b := c.body.Load(); b != nil && l.bounds.BodyOverdue(b.startedAt, b.deadline, now, b.received.Load()) {
		b.stop(ErrBodyLate)
	}
	since := c.unreadSince.Load()
	if since > 0 && l.bounds.BodyOverdue(time.Duration(since), 0, now, 0) && c.unreadSince.CompareAndSwap(since, 0) {
		_ = c.SetReadDeadline(longAgo)
	}
}

// endFinishing closes connections whose client neither reads its answer nor sends the rest of its
// body: those that take too long, and the longest beyond the bound of all.
func (l *Limits) endFinishing(connections []*limitedConn, now time.Duration) {
	var views []limiter.Connection
	var finishing []*limitedConn
	for _, c := range connections {
		since := time.Duration(c.since.Load())
		if c.state.Load() != stateFinishing {
			continue
		}
		if now-since >= l.bounds.HeadTime {
			slowEnds.Inc()
			_ = c.Close()
			continue
		}
		finishing = append(finishing, c)
		views = append(views, limiter.Connection{Waiting: true, Since: since})
	}
	for len(finishing) > l.bounds.Blocked() {
		i := limiter.LongestWaiting(views)
		slowEnds.Inc()
		_ = finishing[i].Close()
		finishing = append(finishing[:i], finishing[i+1:]...)
		views = append(views[:i], views[i+1:]...)
	}
}
