package director

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"papayaseam/internal/messenger"
	"papayaseam/internal/quarantiner"
	"papayaseam/internal/timekeeper"
	"papayaseam/internal/tracker"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// askInterval is the time between questions to a boot of which it is not known
	// whether it has ended.
	askInterval = 250 * time.Millisecond
	// endingPeriod bounds how long a process that has closed its listener may go on to
	// answer over open connections.
	endingPeriod = 250 * time.Millisecond
	// maxAsked bounds the boots that are asked at once.
	maxAsked = 32
	// maxAnnouncementDelay exceeds the time that an announcement may spend in transit.
	maxAnnouncementDelay = 5 * time.Second
)

// verdict is what is known about a boot that was reported as crashed.
type verdict int

const (
	unproved verdict = iota // unproved means that the boot may have ended or may be cut off.
	ended
	running
)

// String returns the name of the verdict in logs and metrics.
func (v verdict) String() string { return [...]string{"unproved", "ended", "running"}[v] }

// crashedBoot is a boot that counts as crashed, until the leader knows better.
type crashedBoot struct {
	view       messenger.EndpointView // view has no address if control does not know the boot.
	term       int
	reportedAt time.Duration // reportedAt is when this leader last learned of the crash.
	askedAt    time.Duration
	ended      bool
}

// dismissCrashes asks the boots that a report of a batch says have crashed, while others
// join the batch. The crashes of those that answer do not count for now; any other
// outcome shows nothing.
func (d *Director) dismissCrashes(ctx context.Context, batch *quarantineBatch, place int) {
	d.mu.Lock()
	boots := map[string]messenger.EndpointView{}
	for _, crash := range batch.reports[place].Crashes {
		if view := d.findBoot(crash.Boot); d.isAskable(view) {
			boots[crash.Boot] = view
		}
		if c := d.crashedBoots[crash.Boot]; c != nil {
			c.reportedAt = now()
		}
	}
	d.mu.Unlock()
	found := d.askBoots(ctx, boots, gatherPeriod)
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(found) == 0 || d.quarantine != batch {
		return
	}
	report := &batch.reports[place]
	var dismissed, kept []messenger.CrashReport
	for _, crash := range report.Crashes {
		if slices.Contains(found, crash.Boot) {
			dismissed = append(dismissed, crash)
		} else {
			kept = append(kept, crash)
		}
	}
	report.Crashes = kept
	d.log.Info("reported crash doubted; the endpoint answers", "boots", found)
	d.spawnLocked("dismissed-crashes", func() { d.recheck(context.WithoutCancel(ctx), dismissed, boots) })
}

// recheck asks boots again that answered as a crash of them was reported, once a process
// that was ending must be gone. It counts the crashes of those that no longer answer, and
// withdraws what entries counted for the others.
func (d *Director) recheck(ctx context.Context, crashes []messenger.CrashReport, boots map[string]messenger.EndpointView) {
	timekeeper.Sleep(ctx, endingPeriod)
	asked := map[string]messenger.EndpointView{}
	for _, crash := range crashes {
		asked[crash.Boot] = boots[crash.Boot]
	}
	command := messenger.QuarantineCommand{Running: d.askBoots(ctx, asked, reportTimeout)}
	for _, crash := range crashes {
		if !slices.Contains(command.Running, crash.Boot) {
			command.Crashes = append(command.Crashes, crash)
		}
	}
	for _, boot := range command.Running {
		d.logVerdict(boot, running, "report")
	}
	d.handleQuarantine(ctx, command)
}

// checkCrashes looks for proofs that the boots which count as crashed have ended or run
// on, and withdraws the crashes of the latter. Only the leader does so.
func (d *Director) checkCrashes(ctx context.Context) {
	d.mu.Lock()
	d.refreshCrashedBoots()
	found := d.settleCrashes()
	boots := d.bootsToAsk()
	d.mu.Unlock()
	found = append(found, d.withdrawable(d.askBoots(ctx, boots, reportTimeout))...)
	if len(found) > 0 {
		d.handleQuarantine(ctx, messenger.QuarantineCommand{Running: found})
	}
}

// withdrawable returns those of the boots that answered of which no crash was reported
// after the question.
func (d *Director) withdrawable(answered []string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []string
	for _, boot := range answered {
		if c := d.crashedBoots[boot]; c == nil || c.reportedAt >= c.askedAt {
			continue
		}
		d.logVerdict(boot, running, "report")
		list = append(list, boot)
	}
	return list
}

// refreshCrashedBoots brings the list of crashed boots in line with the quarantine. The
// caller holds mu.
func (d *Director) refreshCrashedBoots() {
	var counted []string
	if d.leading {
		counted = d.state.Quarantine().Boots()
	}
	maps.DeleteFunc(d.crashedBoots, func(boot string, c *crashedBoot) bool {
		_, counts := slices.BinarySearch(counted, boot)
		return c.term != d.term || !counts
	})
	for _, boot := range counted {
		c := d.crashedBoots[boot]
		if c == nil {
			c = &crashedBoot{term: d.term, reportedAt: now()}
			d.crashedBoots[boot] = c
		}
		if c.view.Address == "" {
			c.view = d.findBoot(boot)
		}
	}
}

// findBoot returns the view of a boot, without an address if control does not know it.
// The caller holds mu.
func (d *Director) findBoot(boot string) messenger.EndpointView {
	instance, born, ok := quarantiner.ParseBootName(boot)
	if !ok || born == 0 {
		return messenger.EndpointView{}
	}
	if e, known := d.tracker().Endpoint(instance); known && e.View.Born == born {
		return e.View
	}
	return messenger.EndpointView{Instance: instance, Born: born}
}

// settleCrashes returns the boots that announced themselves again, unless they can be
// asked, and marks those with a successor. The caller holds mu.
func (d *Director) settleCrashes() (found []string) {
	if len(d.crashedBoots) == 0 {
		return nil
	}
	endpoints := d.tracker().Endpoints()
	for _, boot := range slices.Sorted(maps.Keys(d.crashedBoots)) {
		c := d.crashedBoots[boot]
		if c.ended || c.view.Instance == "" {
			continue
		}
		v := c.verdict(endpoints)
		switch {
		case v == ended:
			c.ended = true
			d.logVerdict(boot, ended, "later-boot")
		case v == running && !d.isAskable(c.view):
			d.logVerdict(boot, running, "announcement")
			found = append(found, boot)
		}
	}
	return found
}

// verdict returns what the table of endpoints shows about a boot. A later boot of the
// same endpoint or at the same address shows that it has ended. An announcement shows
// that it runs on only if it can't have been sent before the crash.
func (c *crashedBoot) verdict(endpoints []tracker.Endpoint) verdict {
	for _, e := range endpoints {
		same := e.View.Instance == c.view.Instance
		switch {
		case e.View.Born > c.view.Born && (same || e.View.Address == c.view.Address):
			return ended
		case same && e.View.Born == c.view.Born && e.View.Sequence >= 0 && e.LastHeard > c.reportedAt+maxAnnouncementDelay:
			return running
		}
	}
	return unproved
}

// bootsToAsk returns the boots without a proof that can't be ending any more, at most
// maxAsked of them, those that were asked longest ago first. The caller holds mu.
func (d *Director) bootsToAsk() map[string]messenger.EndpointView {
	var names []string
	for boot, c := range d.crashedBoots {
		if !c.ended && now()-c.reportedAt >= endingPeriod && d.isAskable(c.view) {
			names = append(names, boot)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(d.crashedBoots[a].askedAt, d.crashedBoots[b].askedAt), cmp.Compare(a, b))
	})
	boots := map[string]messenger.EndpointView{}
	for _, boot := range names[:min(len(names), maxAsked)] {
		d.crashedBoots[boot].askedAt = now()
		boots[boot] = d.crashedBoots[boot].view
	}
	return boots
}

// askBoots asks boots for their state and returns those that answer within the timeout,
// sorted.
func (d *Director) askBoots(ctx context.Context, boots map[string]messenger.EndpointView, timeout time.Duration) []string {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var mu sync.Mutex
	var found []string
	var calls sync.WaitGroup
	for boot, view := range boots {
		calls.Go(func() {
			_, born, err := d.endpoints.Report(ctx, view)
			if err != nil || born != view.Born {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			found = append(found, boot)
		})
	}
	calls.Wait()
	slices.Sort(found)
	return found
}

// isAskable reports whether an endpoint answers questions for its state, which only
// those of a service with an engine do. The caller holds mu.
func (d *Director) isAskable(view messenger.EndpointView) bool {
	if d.config == nil || view.Address == "" {
		return false
	}
	service, ok := d.config.Service(view.Service)
	return ok && service.Engine != nil
}

// logVerdict logs and counts what was proved about a boot that was reported as crashed.
func (d *Director) logVerdict(boot string, v verdict, proof string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`papayaseam_crash_verdicts_total{verdict=%q,proof=%q}`, v, proof)).Inc()
	d.log.Info("reported crash", "boot", boot, "verdict", v, "proof", proof)
}
