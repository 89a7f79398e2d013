package director

import (
	"context"
	"time"
)

const (
	beatInterval = 50 * time.Millisecond
	// maxStandstill is shorter than callers wait for an answer before they call another
	// process, so that they have not given up yet what waits in the sockets for so long.
	maxStandstill = 500 * time.Millisecond
	// lateReadPeriod is how long after a standstill a process may read what was sent before.
	lateReadPeriod = time.Second
)

// standstill tells from a regular beat whether this process was frozen of late. It then reads
// calls whose senders have repeated them elsewhere, and gone on, in the meantime.
type standstill struct {
	beatAt time.Duration // beatAt is the time of the last beat; 0 before the first.
	until  time.Duration // until is the end of the period after the last standstill.
}

// beat takes a beat into account.
func (s *standstill) beat(now time.Duration) {
	if s.stands(now) {
		s.until = now + lateReadPeriod
	}
	s.beatAt = now
}

func (s *standstill) stands(now time.Duration) bool {
	return s.beatAt != 0 && now-s.beatAt > maxStandstill
}

// maybeLate reports whether what is read now may have been sent before a standstill.
func (s *standstill) maybeLate(now time.Duration) bool { return s.stands(now) || now < s.until }

// beat records that this process runs.
func (d *Director) beat(context.Context) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.standstill.stands(now()) {
		d.log.Warn("this process stood still; calls that may be late are not carried out", "for", now()-d.standstill.beatAt)
	}
	d.standstill.beat(now())
}

// maybeLate reports whether a call that is being handled may have been sent before a
// standstill of this process, and overtaken since.
func (d *Director) maybeLate() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.standstill.maybeLate(now())
}
