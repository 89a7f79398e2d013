package granter

import "papayaseam/internal/messenger"

// Msg is an input of a Machine.
type Msg interface{ granterMsg() }

// ConfigMsg carries this instance's assignment in the newest configuration.
type ConfigMsg struct{ Assignment Assignment }

// EndpointMsg carries the state that the endpoint announced, or the zero Endpoint
// if the endpoint is down.
type EndpointMsg struct{ Endpoint Endpoint }

// RenewMsg carries a leader's renewal or release. It always results in exactly
// one AnswerEffect.
type RenewMsg struct{ Request messenger.RenewRequest }

// RenewAnswerMsg carries a member's answer to a renewal that this instance sent
// as leader.
type RenewAnswerMsg struct {
	Group  string
	Answer messenger.RenewAnswer
}

// WithdrawMsg carries a member's notice that it has withdrawn its grant, or, with
// ReasonEndpointReturned, that the endpoint it lost has not crashed.
type WithdrawMsg struct{ Notice messenger.WithdrawNotice }

// ConnClosedMsg reports that a connection to an address has closed.
type ConnClosedMsg struct{ Address string }

// MemberDownMsg reports that no process listens at a member's address any more.
type MemberDownMsg struct {
	Group    string
	Epoch    int
	Instance string
}

// RunningCountMsg carries the number of running attempts.
type RunningCountMsg struct{ Count int }

// LeaveMsg starts a planned stop.
type LeaveMsg struct{}

// CancelLeaveMsg cancels a planned stop because the endpoint has come back.
type CancelLeaveMsg struct{}

// TickMsg reports that time has passed.
type TickMsg struct {
	ControlUnreachable bool // ControlUnreachable is set when no control process has answered for a long time.
}

func (ConfigMsg) granterMsg()       {}
func (EndpointMsg) granterMsg()     {}
func (RenewMsg) granterMsg()        {}
func (RenewAnswerMsg) granterMsg()  {}
func (WithdrawMsg) granterMsg()     {}
func (ConnClosedMsg) granterMsg()   {}
func (MemberDownMsg) granterMsg()   {}
func (RunningCountMsg) granterMsg() {}
func (LeaveMsg) granterMsg()        {}
func (CancelLeaveMsg) granterMsg()  {}
func (TickMsg) granterMsg()         {}

// Effect is an output of a Machine.
type Effect interface{ granterEffect() }

// OrderEffect sends an order to the endpoint.
type OrderEffect struct{ Order messenger.Order }

// RenewEffect sends a renewal or a release to a member.
type RenewEffect struct {
	Member  messenger.Member
	Request messenger.RenewRequest
}

// AnswerEffect answers the renewal being handled.
type AnswerEffect struct{ Answer messenger.RenewAnswer }

// WithdrawEffect notifies the leader that this member withdraws its grant, or that its
// lost endpoint has returned.
type WithdrawEffect struct {
	Leader messenger.Member
	Notice messenger.WithdrawNotice
}

// AbortEffect aborts all running work immediately.
type AbortEffect struct {
	Reason string
	Lost   string // Lost is the member whose endpoint was lost but may still run, or empty.
}

// DrainEffect refuses new work and lets running work finish.
type DrainEffect struct{}

// ServingEffect reports that the group became complete or stopped being complete.
type ServingEffect struct {
	Group    string
	Epoch    int
	Complete bool
}

// RefreshConfigEffect requests the newest configuration immediately.
type RefreshConfigEffect struct{}

func (OrderEffect) granterEffect()         {}
func (RenewEffect) granterEffect()         {}
func (AnswerEffect) granterEffect()        {}
func (WithdrawEffect) granterEffect()      {}
func (AbortEffect) granterEffect()         {}
func (DrainEffect) granterEffect()         {}
func (ServingEffect) granterEffect()       {}
func (RefreshConfigEffect) granterEffect() {}
