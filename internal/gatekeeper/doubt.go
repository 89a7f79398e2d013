package gatekeeper

import (
	"context"
	"maps"
	"time"

	"papayaseam/internal/chooser"
	"papayaseam/internal/messenger"
	"papayaseam/internal/timekeeper"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// doubtInterval is the time between two reports on one boot. The streams that one
	// crash breaks share a report.
	doubtInterval = 250 * time.Millisecond
	// doubtTimeout bounds a report: it is of use only as long as it is news.
	doubtTimeout = 250 * time.Millisecond
	// maxPendingDoubts bounds the reports that wait.
	maxPendingDoubts = 64
)

var doubtsTold = metrics.NewCounter("papayaseam_doubts_total")

// doubts are the heads at which streams of this entry broke. Control asks the members of
// their groups at once instead of at their next turn. Its fields are guarded by the
// entry's mu, except for pending.
type doubts struct {
	toldAt  map[bootKey]time.Duration
	pending chan messenger.Doubt
}

func newDoubts() *doubts {
	return &doubts{toldAt: map[bootKey]time.Duration{}, pending: make(chan messenger.Doubt, maxPendingDoubts)}
}

// add queues a report on the head of a group, unless one was queued lately. A report
// that finds no room is dropped: control finds out at its next probe.
func (d *doubts) add(target chooser.Target, now time.Duration) {
	maps.DeleteFunc(d.toldAt, func(_ bootKey, at time.Duration) bool { return now-at >= doubtInterval })
	key := bootKey{target.ID, target.BootTime}
	if _, told := d.toldAt[key]; told || target.Group == "" {
		return
	}
	d.toldAt[key] = now
	select {
	case d.pending <- messenger.Doubt{Instance: target.ID, Born: target.BootTime}:
		doubtsTold.Inc()
	default:
	}
}

// reportDoubts sends what is queued, until the context ends.
func (g *Gatekeeper) reportDoubts(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case doubt := <-g.doubts.pending:
			g.reportDoubt(ctx, doubt)
		}
	}
}

// reportDoubt tells the first control process that can pass it on to the leader.
func (g *Gatekeeper) reportDoubt(ctx context.Context, doubt messenger.Doubt) {
	ctx, cancel := context.WithTimeout(ctx, doubtTimeout)
	defer cancel()
	start := timekeeper.Now()
	g.mu.Lock()
	addresses := g.controlAddresses()
	g.mu.Unlock()
	for _, address := range addresses {
		var answer messenger.DoubtAnswer
		err := g.controlClient.Call(ctx, "http://"+address+"/fleet/doubt", doubt, &answer)
		if err == nil && answer.Accepted {
			g.log.Info("told control of broken streams", "endpoint", doubt.Instance, "boot", doubt.Born, "ms", (timekeeper.Now() - start).Milliseconds())
			return
		}
		g.log.Debug("could not tell control of broken streams", "control", address, "endpoint", doubt.Instance, "err", err)
	}
}
