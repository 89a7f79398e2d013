package forwarder

import (
	"bufio"
	"context"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"time"

	"papayaseam/internal/dispatcher"
	"papayaseam/internal/messenger"
	"papayaseam/internal/registrar"
	"papayaseam/internal/router"
	"papayaseam/internal/transporter"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

const (
	eventQueueLength          = 64 // eventQueueLength is in events per request.
	initialLineBytes          = 64 << 10
	maxLineBytes              = 32 << 20
	statusClientClosedRequest = 499 // statusClientClosedRequest follows nginx; net/http has no constant for it.
	clearTimeout              = 2 * time.Second
)

// event is an input for the request's state machine, posted by one of its steps.
// Events of an earlier step are recognised by their generation and dropped.
type event struct {
	generation int
	msg        dispatcher.Msg
}

// execution runs the state machine of one request.
type execution struct {
	*Forwarder
	request    *clientRequest
	ctx        context.Context
	machine    *dispatcher.Machine
	relay      *responseRelay
	events     chan event
	generation int
	cancelStep context.CancelFunc
	result     *dispatcher.FinishEffect
}

// dispatch runs a request until its response or error is written. It refuses the
// request if the entry has begun to drain since it admitted the client.
func (f *Forwarder) dispatch(w http.ResponseWriter, r *http.Request, request *clientRequest) {
	if !f.begin(request.organisation) {
		f.countOutcome(request, "refused")
		f.announceStop(w)
		writeAPIError(w, request.id, drainingError)
		return
	}
	defer f.end()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	x := &execution{
		Forwarder: f, request: request, ctx: ctx, relay: newResponseRelay(w, request), events: make(chan event, eventQueueLength), cancelStep: func() {},
		machine: dispatcher.New(dispatcher.Request{
			ID: request.id, Organisation: request.organisation, IdempotencyKey: request.idempotencyKey, Fingerprint: request.fingerprint, Repeatable: request.repeatable,
			CrashedReplicas: f.crashCount(request.fingerprint), Deadline: request.deadline,
		}, uuid.NewString),
	}
	x.relay.pool = f.responses
	defer x.relay.release()
	x.update(dispatcher.StartMsg{})
	ending := f.ending.Done()
	for x.result == nil {
		select {
		case received := <-x.events:
			if received.generation == x.generation {
				x.update(x.verifyFinalFrame(received.msg))
			}
		case <-ctx.Done():
			x.update(dispatcher.CallerGoneMsg{})
		case <-ending:
			ending = nil
			x.update(dispatcher.StoppingMsg{})
		}
	}
	x.cancelStep()
	x.complete()
}

// update passes a message to the state machine and executes the resulting
// effects. Effects that wait for something run as steps in their own goroutines
// and post their results as events.
func (x *execution) update(msg dispatcher.Msg) {
	for _, effect := range x.machine.Update(x.now(), msg) {
		switch effect := effect.(type) {
		case dispatcher.ChooseEffect:
			x.startStep(func(ctx context.Context, _ func(dispatcher.Msg)) dispatcher.Msg { return x.waitForGroup(ctx, effect) })
		case dispatcher.ClaimEffect:
			x.startStep(func(ctx context.Context, _ func(dispatcher.Msg)) dispatcher.Msg { return x.claim(ctx, effect) })
		case dispatcher.SendEffect:
			x.send(effect)
		case dispatcher.AttachEffect:
			x.attach(effect)
		case dispatcher.RevokeEffect:
			x.revoke(effect)
		case dispatcher.ReportCrashEffect:
			x.startStep(func(ctx context.Context, _ func(dispatcher.Msg)) dispatcher.Msg { return x.reportCrash(ctx, effect) })
		case dispatcher.DeliverEffect:
			x.relay.deliver(effect.Frame)
		case dispatcher.ResumeEffect:
			if !x.relay.prepareResume() {
				x.result = &dispatcher.FinishEffect{Verdict: dispatcher.MayHaveRun, Kind: kindNotContinued, Message: "the stream broke where it cannot be continued"}
				return
			}
		case dispatcher.ReportRefusalEffect:
			x.recordRefusal(effect)
		case dispatcher.FinishEffect:
			x.result = &effect
		}
	}
}

// verifyFinalFrame turns a final frame whose length or digest does not match the
// received response into a failure, and one that ends a stream within an event, so that
// a damaged response never counts as complete. Other messages are returned unchanged.
func (x *execution) verifyFinalFrame(msg dispatcher.Msg) dispatcher.Msg {
	final, ok := msg.(dispatcher.FrameMsg)
	if !ok || !final.Frame.Final || final.Frame.Verdict != string(dispatcher.Answered) {
		return msg
	}
	damage := x.relay.damage(final.Frame)
	if damage == "" {
		return msg
	}
	final.Frame.Verdict = string(dispatcher.MayHaveRun)
	final.Frame.Kind = "answer-broken"
	final.Frame.Message = damage
	return final
}

// startStep cancels the current step and runs a new one in its own goroutine,
// under a new generation, so that late events of earlier steps are dropped. The
// step may post events while it runs; its result is posted as the last one.
func (x *execution) startStep(step func(ctx context.Context, post func(dispatcher.Msg)) dispatcher.Msg) {
	x.cancelStep()
	ctx, cancel := context.WithCancel(x.ctx)
	x.cancelStep = cancel
	x.generation++
	generation := x.generation
	post := func(msg dispatcher.Msg) {
		select {
		case x.events <- event{generation, msg}:
		case <-ctx.Done():
		}
	}
	go func() { post(step(ctx, post)) }()
}

// claim commits a claim to the request's idempotency key through control.
func (x *execution) claim(ctx context.Context, effect dispatcher.ClaimEffect) dispatcher.Msg {
	reply, ok := x.commitCommand(ctx, messenger.Command{Kind: registrar.CommandClaim, Claim: &effect.Request})
	if !ok || reply.Claim == nil {
		return dispatcher.ClaimedMsg{Failed: true}
	}
	return dispatcher.ClaimedMsg{Answer: *reply.Claim}
}

// reportCrash reports that a replica crashed under the request and returns the
// number of replicas known to have done so.
func (x *execution) reportCrash(ctx context.Context, effect dispatcher.ReportCrashEffect) dispatcher.Msg {
	crashReport := messenger.CrashRequest{Replica: effect.Replica, Fingerprints: []string{effect.Fingerprint}}
	reply, ok := x.commitCommand(ctx, messenger.Command{Kind: registrar.CommandCrash, Crash: &crashReport})
	if !ok || reply.Crash == nil || len(reply.Crash.Crashes) == 0 {
		return dispatcher.CrashReportedMsg{}
	}
	return dispatcher.CrashReportedMsg{CrashedReplicas: reply.Crash.Crashes[0]}
}

// encodeCopies is how often a body is copied as it is encoded for a side process: in a buffer that
// grows by doubling, with four bytes for three, and in the message.
const encodeCopies = 4

// send starts a new attempt on the target group.
func (x *execution) send(effect dispatcher.SendEffect) {
	request := x.request
	attempt := messenger.AttemptRequest{
		Request: request.id, Attempt: effect.Attempt, Group: effect.Target.Group, Epoch: effect.Target.Epoch,
		Incarnation: effect.Target.Incarnation, Index: x.syncer.Index(), Organisation: request.organisation,
		Fingerprint: request.fingerprint, Priority: request.priority, Repeatable: request.repeatable, Method: request.method, Path: request.path,
		ContentType: request.contentType, Accept: request.accept, Body: x.relay.requestBody(), Suspect: effect.Suspect,
	}
	if request.deadline > 0 {
		attempt.DeadlineMs = max(1, int((request.deadline-x.now())/time.Millisecond))
	}
	x.relay.startAttempt()
	x.log.Debug("attempt sent", "request", request.id, "attempt", effect.Attempt, "group", effect.Target.Group, "epoch", effect.Target.Epoch)
	x.startStep(func(ctx context.Context, post func(dispatcher.Msg)) dispatcher.Msg {
		release, err := request.held.AwaitWork(ctx, encodeCopies)
		if err != nil {
			return dispatcher.ConnectionLostMsg{}
		}
		defer release()
		return x.readFrames(ctx, post, "http://"+effect.Target.Address+"/inner/attempt", attempt, release)
	})
}

// attach reads the rest of a running attempt's response over a new connection.
// The attempt was sent before, so a failure to connect does not prove that it
// never ran.
func (x *execution) attach(effect dispatcher.AttachEffect) {
	request := messenger.AttachRequest{Attempt: effect.Attempt, Offset: effect.Offset}
	x.startStep(func(ctx context.Context, post func(dispatcher.Msg)) dispatcher.Msg {
		if effect.Pause {
			select {
			case <-ctx.Done():
			case <-time.After(reattachDelay):
			}
		}
		msg := x.readFrames(ctx, post, "http://"+effect.Target.Address+"/inner/attach", request, func() {})
		lost, ok := msg.(dispatcher.ConnectionLostMsg)
		if ok && !lost.AttemptUnknown {
			lost.Sent = true
			return lost
		}
		return msg
	})
}

// readFrames sends a request and reads the frames of its response until the final
// frame, a connection failure, or frameTimeout without a frame. It posts all
// frames except the final one as events and returns the final frame or the
// failure. It calls sent once the request is sent.
func (x *execution) readFrames(ctx context.Context, post func(dispatcher.Msg), url string, request any, sent func()) dispatcher.Msg {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idleTimer := time.AfterFunc(frameTimeout, func() { cancel(errFrameTimeout) })
	defer idleTimer.Stop()
	response, err := x.client.Post(ctx, url, request)
	sent()
	var statusErr *transporter.StatusError
	switch {
	case errors.As(err, &statusErr) && statusErr.Status == http.StatusNotFound:
		return dispatcher.ConnectionLostMsg{Sent: true, AttemptUnknown: true}
	case errors.Is(err, transporter.ErrUnreachable):
		return dispatcher.ConnectionLostMsg{ConnectionRefused: errors.Is(err, transporter.ErrRefused)}
	case err != nil:
		return dispatcher.ConnectionLostMsg{Sent: true}
	}
	defer func() { _ = response.Body.Close() }()
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(make([]byte, 0, initialLineBytes), maxLineBytes)
	for scanner.Scan() {
		idleTimer.Reset(frameTimeout)
		var frame messenger.Frame
		if json.Unmarshal(scanner.Bytes(), &frame) != nil {
			break
		}
		x.recordLoad(frame)
		if frame.Final {
			return dispatcher.FrameMsg{Frame: frame}
		}
		post(dispatcher.FrameMsg{Frame: frame})
	}
	return dispatcher.ConnectionLostMsg{Sent: true}
}

var errFrameTimeout = errors.New("no frame arrived within the timeout")

// recordLoad passes the load report of a frame to the router. If the frame shows
// that the group knows newer configuration, it triggers a synchronisation.
func (x *execution) recordLoad(frame messenger.Frame) {
	if frame.Index > x.syncer.Index() {
		x.syncer.Poke()
	}
	if frame.Load == nil {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.router.Update(x.now(), router.LoadsMsg{Loads: []messenger.GroupLoad{*frame.Load}})
}

// revoke asks the target never to start the attempt, and to end it if the effect says
// so. If nothing awaits the outcome, the call may outlive the client's connection by
// up to revokeTimeout.
func (x *execution) revoke(effect dispatcher.RevokeEffect) {
	request := messenger.RevokeRequest{Attempt: effect.Attempt, Incarnation: effect.Target.Incarnation, Cancel: effect.Cancel}
	url := "http://" + effect.Target.Address + "/inner/revoke"
	if !effect.Await {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), revokeTimeout)
		defer cancel()
		var reply messenger.RevokeAnswer
		_ = x.client.Call(ctx, url, request, &reply)
		return
	}
	x.startStep(func(ctx context.Context, _ func(dispatcher.Msg)) dispatcher.Msg {
		ctx, cancel := context.WithTimeout(ctx, revokeTimeout)
		defer cancel()
		var reply messenger.RevokeAnswer
		err := x.client.Call(ctx, url, request, &reply)
		return dispatcher.RevokedMsg{NotRun: err == nil && reply.NotRun, Failed: err != nil, State: reply.State}
	})
}

// complete writes the rest of the response or the error, and records the outcome
// in metrics, objectives and the log.
func (x *execution) complete() {
	result := *x.result
	x.announceStop(x.relay.w)
	if result.Verdict == dispatcher.Answered {
		result = x.relay.finish(result)
	}
	outcome := string(result.Verdict)
	if result.Verdict == dispatcher.Answered && x.request.deadline > 0 && x.relay.firstByteAt > x.request.deadline {
		outcome = "late"
	}
	x.countOutcome(x.request, outcome)
	x.recordLatencies()
	x.recordObjectives(result)
	x.log.Info("request ended", "request", x.request.id, "attempt", x.machine.AttemptID(), "organisation", x.request.organisation,
		"verdict", result.Verdict, "kind", result.Kind, "tries", x.machine.AttemptCount(), "took", (x.now() - x.request.startedAt).Round(time.Millisecond))
	if result.Verdict == dispatcher.Answered {
		x.clearSuspicion()
		return
	}
	x.relay.writeError(apiError{httpStatus(result), result.Kind, string(result.Verdict), result.Message})
}

// clearSuspicion tells control that an answered request does not crash replicas,
// if crashes were recorded under its fingerprint.
func (x *execution) clearSuspicion() {
	if n := x.crashCount(x.request.fingerprint); n == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), clearTimeout)
	defer cancel()
	x.commitCommand(ctx, messenger.Command{Kind: registrar.CommandClear, Clear: &messenger.ClearRequest{Fingerprint: x.request.fingerprint}})
}

// httpStatus returns the status code for a request that failed.
func httpStatus(result dispatcher.FinishEffect) int {
	switch {
	case result.Kind == "caller-gone":
		return statusClientClosedRequest
	case result.Kind == "key-reused" || result.Kind == "request-held":
		return http.StatusUnprocessableEntity
	case result.Kind == "deadline":
		return http.StatusGatewayTimeout
	case result.Kind == "overloaded" || result.Kind == "retry-budget":
		return http.StatusTooManyRequests
	case result.Verdict == dispatcher.NotRun:
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

func hexDigest(digest *xxhash.Digest) string { return hex.EncodeToString(digest.Sum(nil)) }
