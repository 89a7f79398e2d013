package dispatcher

import "papayaseam/internal/messenger"

// Msg is an input of a Machine.
type Msg interface{ dispatcherMsg() }

// StartMsg starts the request.
type StartMsg struct{}

// ChosenMsg is the outcome of a ChooseEffect. Kind and Message say why no target
// was found; Kind is empty if there is one.
type ChosenMsg struct {
	Target  Target
	Kind    string
	Message string
}

// ClaimedMsg is the outcome of a ClaimEffect.
type ClaimedMsg struct {
	Answer messenger.ClaimAnswer
	Failed bool // Failed means that it is unknown whether the claim was committed.
}

// FrameMsg carries a part of the current attempt's response.
type FrameMsg struct{ Frame messenger.Frame }

// ConnectionLostMsg reports that the connection of an attempt or of a reattachment
// ended without a final frame.
type ConnectionLostMsg struct {
	Sent              bool // Sent is false only if no byte of the attempt was sent.
	AttemptUnknown    bool // AttemptUnknown means that the leader replied that it does not know the attempt.
	ConnectionRefused bool // ConnectionRefused means that no process listens at the leader's address.
}

// RevokedMsg is the outcome of a RevokeEffect.
type RevokedMsg struct {
	NotRun bool   // NotRun means that the leader confirmed that the attempt never runs.
	Failed bool   // Failed means that the leader did not reply.
	State  string // State is the attempt's state at the leader.
}

// CrashReportedMsg is the outcome of a ReportCrashEffect. CrashedReplicas is 0 if
// the report failed.
type CrashReportedMsg struct{ CrashedReplicas int }

// CallerGoneMsg reports that the caller disconnected.
type CallerGoneMsg struct{}

// StoppingMsg reports that this process is about to end.
type StoppingMsg struct{}

func (StartMsg) dispatcherMsg()          {}
func (ChosenMsg) dispatcherMsg()         {}
func (ClaimedMsg) dispatcherMsg()        {}
func (FrameMsg) dispatcherMsg()          {}
func (ConnectionLostMsg) dispatcherMsg() {}
func (RevokedMsg) dispatcherMsg()        {}
func (CrashReportedMsg) dispatcherMsg()  {}
func (CallerGoneMsg) dispatcherMsg()     {}
func (StoppingMsg) dispatcherMsg()       {}

// Effect is an output of a Machine.
type Effect interface{ dispatcherEffect() }

// ChooseEffect requests a target.
type ChooseEffect struct {
	Excluded map[string]bool
	Retry    bool // Retry means that the attempt needs retry budget.
}

// ClaimEffect commits a claim of the idempotency key before the attempt is sent.
type ClaimEffect struct{ Request messenger.ClaimRequest }

// SendEffect sends an attempt.
type SendEffect struct {
	Target  Target
	Attempt string
	Suspect bool // Suspect means that a replica crashed while running the request.
}

// AttachEffect requests the attempt's response over a new connection, from a byte
// offset on.
type AttachEffect struct {
	Target  Target
	Attempt string
	Offset  int
	Pause   bool // Pause asks for a short delay before connecting.
}

// RevokeEffect asks the leader never to start the attempt.
type RevokeEffect struct {
	Target  Target
	Attempt string
	Cancel  bool // Cancel means that the attempt is to end if it has started.
	Await   bool // Await means that the machine expects a RevokedMsg.
}

// DeliverEffect passes a part of the response to the caller.
type DeliverEffect struct{ Frame messenger.Frame }

// ResumeEffect asks that the next attempt continues the response after the part
// that was delivered.
type ResumeEffect struct{}

// ReportRefusalEffect tells the router that a group refused an attempt or stopped
// serving.
type ReportRefusalEffect struct {
	Target Target
	Kind   string
}

// ReportCrashEffect reports the crash of a replica and requests the number of
// replicas that crashed while running the request.
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

func (ChooseEffect) dispatcherEffect()        {}
func (ClaimEffect) dispatcherEffect()         {}
func (SendEffect) dispatcherEffect()          {}
func (AttachEffect) dispatcherEffect()        {}
func (RevokeEffect) dispatcherEffect()        {}
func (DeliverEffect) dispatcherEffect()       {}
func (ResumeEffect) dispatcherEffect()        {}
func (ReportRefusalEffect) dispatcherEffect() {}
func (ReportCrashEffect) dispatcherEffect()   {}
func (FinishEffect) dispatcherEffect()        {}
