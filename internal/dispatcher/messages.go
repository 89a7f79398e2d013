package dispatcher

import "papayaseam/internal/messenger"

// Msg is an input of the machine.
type Msg interface{ dispatcherMsg() }

// StartMsg begins the request.
type StartMsg struct{}

// ChosenMsg answers a ChooseEffect; Kind tells why no target was found.
type ChosenMsg struct {
	Target  Target
	Kind    string
	Message string
}

// ClaimedMsg answers a ClaimEffect.
type ClaimedMsg struct {
	Answer messenger.ClaimAnswer
	Failed bool // Failed means that the outcome of the claim is not known.
}

// FrameMsg is a piece of the current attempt's answer.
type FrameMsg struct{ Frame messenger.Frame }

// ConnectionLostMsg tells that the connection of the attempt or attachment ended
// without a final frame.
type ConnectionLostMsg struct {
	Sent    bool // Sent is false only if no byte of the attempt left.
	AttemptUnknown bool // Unknown means that the leader answered that it does not know the attempt.
	ConnectionRefused bool // Refused means that no process listens at the leader's address.
}

// RevokedMsg answers a RevokeEffect.
type RevokedMsg struct {
	NotRun bool
	Failed bool
	State  string
}

// CrashReportedMsg answers a ReportCrashEffect.
type CrashReportedMsg struct{ CrashedReplicas int }

// CallerGoneMsg tells that the caller has left.
type CallerGoneMsg struct{}

func (StartMsg) dispatcherMsg()    {}
func (ChosenMsg) dispatcherMsg()   {}
func (ClaimedMsg) dispatcherMsg()  {}
func (FrameMsg) dispatcherMsg()    {}
func (ConnectionLostMsg) dispatcherMsg()   {}
func (RevokedMsg) dispatcherMsg()  {}
func (CrashReportedMsg) dispatcherMsg() {}
func (CallerGoneMsg) dispatcherMsg()     {}

// Effect is an output of the machine.
type Effect interface{ dispatcherEffect() }

// ChooseEffect asks for a target.
type ChooseEffect struct {
	Excluded map[string]bool
	Retry    bool // Retry means that the choice needs retry budget.
}

// ClaimEffect commits a claim before the dispatch.
type ClaimEffect struct{ Request messenger.ClaimRequest }

// SendEffect sends an attempt.
type SendEffect struct {
	Target  Target
	Attempt string
	Suspect bool
}

// AttachEffect asks for the attempt's answer over a new connection.
type AttachEffect struct {
	Target  Target
	Attempt string
	Offset  int
	Pause   bool // Pause asks for a short wait before the connection.
}

// RevokeEffect asks that the attempt never starts; with Cancel the outcome is
// not awaited.
type RevokeEffect struct {
	Target  Target
	Attempt string
	Cancel  bool
}

// DeliverEffect passes a piece of the answer on.
type DeliverEffect struct{ Frame messenger.Frame }

// ResumeEffect prepares the next attempt to continue what was delivered.
type ResumeEffect struct{}

// ReportRefusalEffect tells the router that a group refused.
type ReportRefusalEffect struct {
	Target Target
	Kind   string
}

// ReportCrashEffect reports a crash and awaits the count.
type ReportCrashEffect struct {
	Replica     string
	Fingerprint string
}

// FinishEffect ends the request.
type FinishEffect struct {
	Verdict Verdict
	Kind    string
	Message string
}

func (ChooseEffect) dispatcherEffect()  {}
func (ClaimEffect) dispatcherEffect()   {}
func (SendEffect) dispatcherEffect()    {}
func (AttachEffect) dispatcherEffect()  {}
func (RevokeEffect) dispatcherEffect()  {}
func (DeliverEffect) dispatcherEffect() {}
func (ResumeEffect) dispatcherEffect()  {}
func (ReportRefusalEffect) dispatcherEffect() {}
func (ReportCrashEffect) dispatcherEffect()  {}
func (FinishEffect) dispatcherEffect()  {}
