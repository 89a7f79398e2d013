package supervisor

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"papayaseam/internal/admitter"
	"papayaseam/internal/granter"
	"papayaseam/internal/messenger"
	"papayaseam/internal/timekeeper"
	"papayaseam/internal/transporter"

	"github.com/cockroachdb/errors"
)

const readBufferBytes = 16 << 10

// firstTokenSmoothing is the divisor of the exponential moving average of the
// time to the first token: each sample has the weight 1/8.
const firstTokenSmoothing = 8

// execute executes an effect that calls another process, and then signals ended.
func (s *Supervisor) execute(ctx context.Context, effect any) {
	defer func() { s.ended <- "effect" }()
	switch effect := effect.(type) {
	case granter.OrderEffect:
		s.sendOrder(ctx, effect.Order)
	case granter.RenewEffect:
		s.sendRenewal(ctx, effect)
	case granter.WithdrawEffect:
		s.sendNotice(ctx, effect)
	case messenger.CrashRequest:
		s.reportCrash(ctx, effect)
	case acquitEffect:
		s.acquit(ctx)
	case probeEffect:
		s.probeEndpoint(ctx, effect)
	case connectionLostEffect:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.updateMembership(granter.ConnClosedMsg{Address: effect.address})
	}
}

// sendNotice sends a notice to a leader. A notice that the endpoint has returned is
// repeated up to returnNoticeTries times, since nothing else takes a crash report back;
// a lost withdrawal is made up for by the end of the grant.
func (s *Supervisor) sendNotice(ctx context.Context, effect granter.WithdrawEffect) {
	tries := 1
	if effect.Notice.Reason == granter.ReasonEndpointReturned {
		tries = returnNoticeTries
	}
	for range tries {
		callCtx, cancel := context.WithTimeout(ctx, renewTimeout)
		var response struct{}
		err := s.client.Call(callCtx, "http://"+effect.Leader.Address+"/inner/withdraw", effect.Notice, &response)
		cancel()
		if err == nil {
			return
		}
		s.log.Warn("cannot send notice to the leader", "leader", effect.Leader.Instance, "reason", effect.Notice.Reason, "err", err)
		timekeeper.Sleep(ctx, renewTimeout)
	}
}

// connectionLostEffect reports that a connection to an address was closed.
type connectionLostEffect struct{ address string }

// enqueueConnectionLost is called by the HTTP client when a connection closes. It
// only enqueues an effect, because the HTTP client must not wait for mu.
func (s *Supervisor) enqueueConnectionLost(address string) {
	s.enqueueEffect(connectionLostEffect{address})
}

// sendOrder sends an order to the endpoint. The result appears in the endpoint's
// later announcements.
func (s *Supervisor) sendOrder(ctx context.Context, order messenger.Order) {
	s.mu.Lock()
	address := s.announcement.Address
	s.mu.Unlock()
	if address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	var answer messenger.OrderAnswer
	err := s.oneShotClient.Call(ctx, "http://"+address+"/v1/orders", order, &answer)
	s.log.Info("sent order to endpoint", "action", order.Action, "group", order.Group, "model", order.Model, "version", order.Version,
		"rank", order.Rank, "fencing-number", order.FencingNumber, "accepted", answer.Accepted, "err", err)
}

// sendRenewal asks a member to renew the lease that it grants to this leader.
func (s *Supervisor) sendRenewal(ctx context.Context, effect granter.RenewEffect) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	var answer messenger.RenewAnswer
	err := s.client.Call(ctx, "http://"+effect.Member.Address+"/inner/renew", effect.Request, &answer)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case errors.Is(err, transporter.ErrRefused):
		s.updateMembership(granter.MemberDownMsg{Group: effect.Request.Group, Epoch: effect.Request.Epoch, Instance: effect.Member.Instance})
	case err == nil:
		s.updateMembership(granter.RenewAnswerMsg{Group: effect.Request.Group, Answer: answer})
		s.dispatchWaiting()
	}
}

// startAttempt sends an admitted attempt to the endpoint. The caller must hold mu
// and have checked the members' leases right before.
func (s *Supervisor) startAttempt(effect admitter.StartEffect) {
	a := s.attempts[effect.ID]
	assignment, _ := s.granter.LedAssignment()
	ctx, cancel := context.WithCancel(s.baseCtx)
	a.cancel = cancel
	call := endpointCall{
		address: s.announcement.Address, incarnation: s.announcement.Started, epoch: assignment.Spec.Epoch, replica: s.replicaID(), startTime: s.now(),
	}
	go s.runAttempt(ctx, a, call)
}

// endpointCall holds what was known when an attempt's call to the endpoint
// started.
type endpointCall struct {
	address     string
	incarnation string // incarnation identifies the run of the endpoint's process.
	epoch       int
	replica     string
	startTime   time.Duration // startTime is when the call started, as returned by Supervisor.now.
}

// runAttempt calls the endpoint, retains the response and finishes the attempt.
func (s *Supervisor) runAttempt(ctx context.Context, a *attempt, call endpointCall) {
	defer func() { s.ended <- a.request.Attempt }()
	defer a.cancel()
	final := s.callEndpoint(ctx, a, call)
	s.mu.Lock()
	defer s.mu.Unlock()
	final.Load = s.groupLoad()
	if a.finish(final) {
		s.log.Info("attempt ended", "request", a.request.Request, "attempt", a.request.Attempt, "verdict", final.Verdict, "kind", final.Kind)
	}
	if final.Kind == granter.ReasonEndpointDown {
		crash := messenger.CrashRequest{Replica: call.replica, Fingerprints: []string{a.request.Fingerprint}}
		s.reportLoss(&suspicion{instance: s.cfg.Name, incarnation: call.incarnation, epoch: call.epoch, crash: crash})
	}
	s.retainResponse(a)
	s.updateAdmission(admitter.FinishMsg{ID: a.request.Attempt})
	s.reportRunning()
	s.dispatchWaiting()
}

// callEndpoint sends the attempt to the endpoint and returns the final frame.
func (s *Supervisor) callEndpoint(ctx context.Context, a *attempt, call endpointCall) messenger.Frame {
	request, err := newEndpointRequest(ctx, a, call)
	if err != nil {
		return messenger.Frame{Verdict: "not-run", Kind: "invalid-request", Message: err.Error()}
	}
	client := s.client
	if !a.request.Repeatable {
		client = s.oneShotClient
	}
	response, connection, err := client.DoOn(request)
	if errors.Is(err, transporter.ErrUnreachable) && !connection.Opened() {
		return messenger.Frame{Verdict: "not-run", Kind: "endpoint-unreachable", Message: "the endpoint could not be reached"}
	}
	if err != nil {
		return s.classifyBrokenCall(ctx, call)
	}
	defer func() { _ = response.Body.Close() }()
	if echoed := response.Header.Get("X-Attempt-Id"); echoed != "" && echoed != a.request.Attempt {
		connection.Abandon()
		return messenger.Frame{Verdict: "may-have-run", Kind: "foreign-answer", Message: "the endpoint answered another attempt"}
	}
	a.setHeader(response.StatusCode, response.Header.Get("Content-Type"))
	return s.copyResponse(ctx, a, call, response.Body)
}

// newEndpointRequest returns the HTTP request of an attempt. Its fencing number
// is the group's epoch.
func newEndpointRequest(ctx context.Context, a *attempt, call endpointCall) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, a.request.Method, "http://"+call.address+a.request.Path, bytes.NewReader(a.request.Body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", a.request.ContentType)
	request.Header.Set("Accept", a.request.Accept)
	request.Header.Set("X-Request-Id", a.request.Request)
	request.Header.Set("X-Attempt-Id", a.request.Attempt)
	request.Header.Set("X-Organisation", a.request.Organisation)
	request.Header.Set("X-Priority", strconv.Itoa(a.request.Priority))
	request.Header.Set("X-Fencing-Number", strconv.Itoa(call.epoch))
	return request, nil
}

// copyResponse copies the response body into the attempt until the body ends, and
// returns the final frame.
func (s *Supervisor) copyResponse(ctx context.Context, a *attempt, call endpointCall, body io.Reader) messenger.Frame {
	buffer := make([]byte, readBufferBytes)
	for first := true; ; first = false {
		n, err := body.Read(buffer)
		if n > 0 && !a.appendData(buffer[:n]) {
			return messenger.Frame{Verdict: "may-have-run", Kind: "answer-too-long", Message: "the answer is longer than an attempt, or all attempts under way together, may keep"}
		}
		if n > 0 && first {
			s.recordFirstToken(s.now() - call.startTime)
		}
		if errors.Is(err, io.EOF) {
			return messenger.Frame{Verdict: "answered"}
		}
		if err != nil {
			return s.classifyBrokenCall(ctx, call)
		}
	}
}

// recordFirstToken adds a sample to the moving average of the time to the first
// token.
func (s *Supervisor) recordFirstToken(elapsed time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.firstTokenTime += (elapsed - s.firstTokenTime) / firstTokenSmoothing
}

// classifyBrokenCall returns the final frame of a call that broke. To tell a
// crash of the endpoint from a lost connection, it asks the endpoint over a new
// connection whether the same incarnation still runs.
func (s *Supervisor) classifyBrokenCall(ctx context.Context, call endpointCall) messenger.Frame {
	if ctx.Err() != nil {
		return messenger.Frame{Verdict: "may-have-run", Kind: "cut", Message: "the call was ended"}
	}
	if s.probeEndpoint(ctx, probeEffect{address: call.address, incarnation: call.incarnation}) {
		return messenger.Frame{Verdict: "may-have-run", Kind: "endpoint-broke", Message: "the endpoint ended the answer early"}
	}
	return messenger.Frame{Verdict: "may-have-run", Kind: granter.ReasonEndpointDown, Message: "the endpoint crashed", Replica: call.replica}
}

// probeEffect checks whether an incarnation of the endpoint still runs.
type probeEffect struct {
	address     string
	incarnation string
}

// probeEndpoint asks the endpoint over a new connection whether the same
// incarnation still runs. If not, it marks the endpoint as lost and returns false.
func (s *Supervisor) probeEndpoint(ctx context.Context, effect probeEffect) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var current messenger.Announcement
	err := s.oneShotClient.Get(ctx, "http://"+effect.address+"/v1/announcement", &current)
	if err == nil && current.Started == effect.incarnation {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.announcement.Started == effect.incarnation {
		s.log.Warn("endpoint is down", "endpoint", effect.address)
		s.markEndpointLost()
	}
	return false
}
