package chooser

import "time"

const (
	// returnSpread is the part of the time to stay away by which entries return later
	// than asked, at random, so that they do not return together.
	returnSpread = 0.1
	// maxReturnSpread bounds the delay of a return.
	maxReturnSpread = time.Second
	// maxNotices bounds the notices that are kept.
	maxNotices = 4096
)

// NoticeMsg carries what an endpoint said of itself in an answer.
type NoticeMsg struct {
	Now      time.Duration
	ID       string
	BootTime int
	Leaving  bool          // Leaving means that the endpoint takes no further requests.
	StayAway time.Duration // StayAway is how long the endpoint wants no requests; 0 if it does not say.
}

func (NoticeMsg) chooserMsg() {}

// notice is what the entry heard from one boot of an endpoint. It holds whatever the
// view of the fleet says.
type notice struct {
	bootTime  int
	heardAt   time.Duration
	awaySince time.Duration // awaySince is when the time began in which the endpoint takes no requests.
	leaving   bool
	awayUntil time.Duration
}

// addNotice records what an endpoint said. Notices of earlier boots are ignored.
func (c *Chooser) addNotice(msg NoticeMsg) {
	n, ok := c.notices[msg.ID]
	if ok && n.bootTime > msg.BootTime {
		return
	}
	if !ok || n.bootTime != msg.BootTime {
		n = notice{bootTime: msg.BootTime}
	}
	n.heardAt = msg.Now
	if !n.away(msg.Now) {
		n.awaySince = msg.Now
	}
	n.leaving = n.leaving || msg.Leaving
	if msg.StayAway > 0 {
		spread := min(time.Duration(returnSpread*float64(msg.StayAway)), maxReturnSpread)
		n.awayUntil = max(n.awayUntil, msg.Now+msg.StayAway+time.Duration(c.options.random.Float64()*float64(spread)))
	}
	c.notices[msg.ID] = n
	if len(c.notices) > maxNotices {
		c.dropOldestNotice()
	}
}

func (c *Chooser) dropOldestNotice() {
	oldest := ""
	for id, n := range c.notices {
		if o := c.notices[oldest]; oldest == "" || n.heardAt < o.heardAt || (n.heardAt == o.heardAt && id < oldest) {
			oldest = id
		}
	}
	delete(c.notices, oldest)
}

func (n notice) away(now time.Duration) bool { return n.leaving || n.awayUntil > now }

// heard returns what this boot of an endpoint said; a zero notice if nothing.
func (c *Chooser) heard(target Target) notice {
	if n := c.notices[target.ID]; n.bootTime == target.BootTime {
		return n
	}
	return notice{}
}

// StaysAway reports whether an endpoint said that it takes no requests now.
func (c *Chooser) StaysAway(target Target, now time.Duration) bool {
	return c.heard(target).away(now)
}

// Leaves reports whether an endpoint said that it takes no further requests.
func (c *Chooser) Leaves(target Target) bool { return c.heard(target).leaving }

// AwaySince returns when an endpoint first said that it takes no requests, or false if it
// takes them now.
func (c *Chooser) AwaySince(target Target, now time.Duration) (time.Duration, bool) {
	n := c.heard(target)
	return n.awaySince, n.away(now)
}

// ReturnIn returns how long it takes until an endpoint that serves the model wants
// requests again. It returns false if one wants them now, or if all that serve it
// leave.
func (c *Chooser) ReturnIn(service, model string, now time.Duration) (time.Duration, bool) {
	wait := time.Duration(0)
	for id, cand := range c.candidates {
		if cand.service != service || cand.model != model || c.closed(cand) {
			continue
		}
		if !c.StaysAway(cand.target, now) {
			return 0, false
		}
		if n := c.notices[id]; !n.leaving && (wait == 0 || n.awayUntil-now < wait) {
			wait = n.awayUntil - now
		}
	}
	return wait, wait > 0
}

// AwayCount returns the number of endpoints that take no requests by their own word.
func (c *Chooser) AwayCount(now time.Duration) int {
	n := 0
	for _, cand := range c.candidates {
		if c.StaysAway(cand.target, now) {
			n++
		}
	}
	return n
}
