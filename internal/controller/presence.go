package controller

import (
	"time"

	"papayaseam/internal/messenger"
)

// forgetAfter is the age at which a silent process is dropped from the table.
const forgetAfter = 30 * time.Minute

type presence struct {
	status messenger.Status
	at     time.Time
}

// presences holds what processes last reported of themselves.
type presences map[string]presence

// note takes a status of the given age unless a newer one is known.
func (p presences) note(status messenger.Status, now time.Time) {
	at := now.Add(-time.Duration(status.AgeMs) * time.Millisecond)
	if known, ok := p[status.Instance]; ok && known.at.After(at) {
		return
	}
	status.AgeMs = 0
	p[status.Instance] = presence{status: status, at: at}
}

// since returns the statuses noted after a moment, with their age now.
func (p presences) since(moment, now time.Time) []messenger.Status {
	var list []messenger.Status
	for name, entry := range p {
		if now.Sub(entry.at) > forgetAfter {
			delete(p, name)
			continue
		}
		if entry.at.After(moment) {
			list = append(list, entry.aged(now))
		}
	}
	return list
}

func (e presence) aged(now time.Time) messenger.Status {
	status := e.status
	status.AgeMs = int(now.Sub(e.at) / time.Millisecond)
	return status
}

// loads returns the load reports of all leaders, with their age.
func (p presences) loads(now time.Time) []messenger.GroupLoad {
	var list []messenger.GroupLoad
	for _, entry := range p {
		if entry.status.Load == nil || now.Sub(entry.at) > loadLife {
			continue
		}
		load := *entry.status.Load
		load.AgeMs += int(now.Sub(entry.at) / time.Millisecond)
		list = append(list, load)
	}
	return list
}
