package controller

import (
	"time"

	"papayaseam/internal/messenger"
)

// presenceRetention is how long a process that stopped reporting stays in the
// presence table.
const presenceRetention = 30 * time.Minute

// presenceEntry is the last status of a process and the time it was reported.
type presenceEntry struct {
	status     messenger.Status
	reportedAt time.Time
}

// presenceTable maps instance names to their last reported status.
type presenceTable map[string]presenceEntry

// record stores a status unless the table holds a newer one of the same instance.
// The status's age is subtracted from now to get the time of the report.
func (p presenceTable) record(status messenger.Status, now time.Time) {
	reportedAt := now.Add(-time.Duration(status.AgeMs) * time.Millisecond)
	if previous, ok := p[status.Instance]; ok && previous.reportedAt.After(reportedAt) {
		return
	}
	status.AgeMs = 0
	p[status.Instance] = presenceEntry{status: status, reportedAt: reportedAt}
}

// updatedSince returns the statuses reported after cutoff, with their current
// age. It also removes entries older than presenceRetention.
func (p presenceTable) updatedSince(cutoff, now time.Time) []messenger.Status {
	var statuses []messenger.Status
	for name, entry := range p {
		if now.Sub(entry.reportedAt) > presenceRetention {
			delete(p, name)
			continue
		}
		if entry.reportedAt.After(cutoff) {
			statuses = append(statuses, entry.withCurrentAge(now))
		}
	}
	return statuses
}

// withCurrentAge returns the status with its age at the given time.
func (e presenceEntry) withCurrentAge(now time.Time) messenger.Status {
	status := e.status
	status.AgeMs = int(now.Sub(e.reportedAt) / time.Millisecond)
	return status
}

// loadReports returns the load reports of all groups that are at most
// loadReportMaxAge old, with their current age.
func (p presenceTable) loadReports(now time.Time) []messenger.GroupLoad {
	var loads []messenger.GroupLoad
	for _, entry := range p {
		if entry.status.Load == nil || now.Sub(entry.reportedAt) > loadReportMaxAge {
			continue
		}
		load := *entry.status.Load
		load.AgeMs += int(now.Sub(entry.reportedAt) / time.Millisecond)
		loads = append(loads, load)
	}
	return loads
}
