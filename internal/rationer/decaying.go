package rationer

import (
	"cmp"
	"math"
	"time"
)

// decaying is a sum whose parts lose weight exponentially.
type decaying struct {
	sum  float64
	at   time.Duration
	span time.Duration // span is the time constant; 0 means window.
}

func (d *decaying) value(now time.Duration) float64 {
	if now > d.at {
		if d.sum != 0 {
			d.sum *= math.Exp(-float64(now-d.at) / float64(cmp.Or(d.span, window)))
		}
		d.at = now
	}
	return d.sum
}

func (d *decaying) add(now time.Duration, x float64) { d.sum = d.value(now) + x }

// tally counts requests and how many of them were sent to an endpoint.
type tally struct{ asked, served decaying }

// ratio returns the fraction that was sent, or 1 if there was no request.
func (t *tally) ratio(now time.Duration) float64 {
	asked := t.asked.value(now)
	if asked <= 0 {
		return 1
	}
	return min(t.served.value(now)/asked, 1)
}
