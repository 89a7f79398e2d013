package tracker

import (
	"time"

	"papayaseam/internal/messenger"
)

// Msg is an input of the tracker. Its times are readings of one monotonic clock.
type Msg interface{ trackerMsg() }

// AnnounceMsg carries an endpoint's announcement of itself.
type AnnounceMsg struct {
	Now      time.Duration
	Endpoint messenger.EndpointView
	Report   *messenger.EndpointReport // Report is nil if the announcement has no state.
	Cold     ColdAnnouncement
}

// HeartbeatMsg records an announcement that repeats the previous one.
type HeartbeatMsg struct {
	Now      time.Duration
	ID       string
	BootTime int
	Sequence int
}

// LeaveMsg records that a boot is leaving for good. Later messages from the boot
// do not revert this.
type LeaveMsg struct {
	ID       string
	BootTime int // BootTime is 0 if only the identity is known; this matches any boot.
}

// ReportMsg carries the state that an endpoint returned to a call.
type ReportMsg struct {
	Now      time.Duration
	ID       string
	BootTime int
	Report   messenger.EndpointReport
}

// OrderStartedMsg records that an endpoint has started an order.
type OrderStartedMsg struct {
	Now      time.Duration
	ID       string
	BootTime int
}

// CallFailedMsg records that a call to an endpoint failed.
type CallFailedMsg struct {
	CalledAt time.Duration
	ID       string
	BootTime int
	Refused  bool // Refused is set if the endpoint's address refused the call, or another endpoint answered there.
}

// LaterBootMsg records that a later boot answered under an endpoint's identity.
type LaterBootMsg struct {
	ID       string
	BootTime int // BootTime is the start time of the boot that has ended.
}

// LeaveSentMsg records that an endpoint was ordered to leave a group. The endpoint counts
// that order once it has left.
type LeaveSentMsg struct {
	ID       string
	BootTime int
	Group    string
	Epoch    int
}

// LeftMsg records that an endpoint has carried out an order to leave a group.
type LeftMsg struct {
	Now      time.Duration
	ID       string
	BootTime int
	Group    string
	Epoch    int
}

// ExpireMsg removes the endpoints that were not heard from for more than
// MaxSilence.
type ExpireMsg struct {
	Now        time.Duration
	MaxSilence time.Duration
}

func (AnnounceMsg) trackerMsg()     {}
func (HeartbeatMsg) trackerMsg()    {}
func (LeaveMsg) trackerMsg()        {}
func (ReportMsg) trackerMsg()       {}
func (CallFailedMsg) trackerMsg()   {}
func (LaterBootMsg) trackerMsg()    {}
func (LeaveSentMsg) trackerMsg()    {}
func (LeftMsg) trackerMsg()         {}
func (OrderStartedMsg) trackerMsg() {}
func (ExpireMsg) trackerMsg()       {}
