package granter

import "papayaseam/internal/messenger"

// Msg is an input of the machine.
type Msg interface{ granterMsg() }

// ConfigMsg carries this instance's part in the newest configuration.
type ConfigMsg struct{ Assignment Assignment }

// EndpointMsg carries an announcement of the endpoint, or its loss.
type EndpointMsg struct{ Endpoint Endpoint }

// RenewMsg is a leader's request; it is answered by one AnswerEffect.
type RenewMsg struct{ Request messenger.RenewRequest }

// RenewAnswerMsg is a member's answer to this instance as leader.
type RenewAnswerMsg struct {
	Group  string
	Answer messenger.RenewAnswer
}

// WithdrawMsg is a member's notice that its grant has ended.
type WithdrawMsg struct{ Notice messenger.WithdrawNotice }

// ConnClosedMsg tells that a connection to an address has closed.
type ConnClosedMsg struct{ Address string }

// MemberDownMsg tells that no process listens any more at a member's address.
type MemberDownMsg struct {
	Group    string
	Epoch    int
	Instance string
}

// RunningCountMsg tells how many attempts run.
type RunningCountMsg struct{ Count int }

// LeaveMsg starts a planned stop.
type LeaveMsg struct{}

// CancelLeaveMsg ends a planned stop: the endpoint has come back.
type CancelLeaveMsg struct{}

// TickMsg tells that time has passed.
type TickMsg struct {
	ControlUnreachable bool // ControlUnreachable means that control was not heard for long.
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

// Effect is an output of the machine.
type Effect interface{ granterEffect() }

// OrderEffect gives an order to the endpoint.
type OrderEffect struct{ Order messenger.Order }

// RenewEffect sends a renewal or a release to a member.
type RenewEffect struct {
	Member  messenger.Member
	Request messenger.RenewRequest
}

// AnswerEffect answers the renewal being handled.
type AnswerEffect struct{ Answer messenger.RenewAnswer }

// WithdrawEffect tells the leader that this member's grant has ended.
type WithdrawEffect struct {
	Leader messenger.Member
	Notice messenger.WithdrawNotice
}

// AbortEffect ends all running work at once.
type AbortEffect struct{ Reason string }

// DrainEffect stops new work and lets running work end.
type DrainEffect struct{}

// ServingEffect tells that the group became complete or broke.
type ServingEffect struct {
	Group    string
	Epoch    int
	Complete bool
}

// RefreshConfigEffect asks for newer configuration now.
type RefreshConfigEffect struct{}

func (OrderEffect) granterEffect()         {}
func (RenewEffect) granterEffect()         {}
func (AnswerEffect) granterEffect()        {}
func (WithdrawEffect) granterEffect()      {}
func (AbortEffect) granterEffect()         {}
func (DrainEffect) granterEffect()         {}
func (ServingEffect) granterEffect()       {}
func (RefreshConfigEffect) granterEffect() {}
