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
	eventQueue    = 64
	lineBytes     = 64 << 10
	maxLineBytes  = 32 << 20
	statusGone    = 499
	finishTimeout = 2 * time.Second
)

// event is an input of the request's machine from one of its connections. One
// of an earlier connection is dropped by its generation.
type event struct {
	generation int
	msg        dispatcher.Msg
}

// run is the execution of one request's machine.
type run struct {
	*Forwarder
	call       *call
	ctx        context.Context
	machine    *dispatcher.Machine
	answer     *answer
	events     chan event
	generation int
	stop       context.CancelFunc
	finish     *dispatcher.FinishEffect
}

// dispatch sees one request through to its end.
func (f *Forwarder) dispatch(w http.ResponseWriter, r *http.Request, c *call) {
	f.mu.Lock()
	f.open++
	f.budget.RecordRequest(c.organisation)
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		f.open--
		f.mu.Unlock()
	}()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	x := &run{
		Forwarder: f, call: c, ctx: ctx, answer: newAnswer(w, c), events: make(chan event, eventQueue), stop: func() {},
		machine: dispatcher.New(dispatcher.Request{
			ID: c.id, Organisation: c.organisation, IdempotencyKey: c.key, Fingerprint: c.fingerprint, Repeatable: c.repeatable,
			CrashedReplicas: f.crashes(c.fingerprint), Deadline: c.deadline,
		}, uuid.NewString),
	}
	x.feed(dispatcher.StartMsg{})
	for x.finish == nil {
		select {
		case e := <-x.events:
			if e.generation == x.generation {
				x.feed(x.checked(e.msg))
			}
		case <-ctx.Done():
			x.feed(dispatcher.CallerGoneMsg{})
		}
	}
	x.stop()
	x.conclude()
}

// feed updates the machine and executes its effects; effects that wait for
// something run on their own and report back as events.
func (x *run) feed(msg dispatcher.Msg) {
	for _, effect := range x.machine.Update(x.now(), msg) {
		switch effect := effect.(type) {
		case dispatcher.ChooseEffect:
			x.begin(func(ctx context.Context, _ func(dispatcher.Msg)) dispatcher.Msg { return x.choose(ctx, effect) })
		case dispatcher.ClaimEffect:
			x.begin(func(ctx context.Context, _ func(dispatcher.Msg)) dispatcher.Msg { return x.claim(ctx, effect) })
		case dispatcher.SendEffect:
			x.send(effect)
		case dispatcher.AttachEffect:
			x.attach(effect)
		case dispatcher.RevokeEffect:
			x.revoke(effect)
		case dispatcher.ReportCrashEffect:
			x.begin(func(ctx context.Context, _ func(dispatcher.Msg)) dispatcher.Msg { return x.report(ctx, effect) })
		case dispatcher.DeliverEffect:
			x.answer.deliver(effect.Frame)
		case dispatcher.ResumeEffect:
			x.answer.resume()
		case dispatcher.ReportRefusalEffect:
			x.noteRefusal(effect)
		case dispatcher.FinishEffect:
			x.finish = &effect
		}
	}
}

// checked turns the last frame of an answer that does not match its length and
// digest into a break, so that it is never taken for whole.
func (x *run) checked(msg dispatcher.Msg) dispatcher.Msg {
	last, ok := msg.(dispatcher.FrameMsg)
	if !ok || !last.Frame.Final || last.Frame.Verdict != string(dispatcher.Answered) || x.answer.whole(last.Frame) {
		return msg
	}
	last.Frame.Verdict = string(dispatcher.MayHaveRun)
	last.Frame.Kind = "answer-broken"
	last.Frame.Message = "the answer does not match its length and digest"
	return last
}

// begin starts a new generation: what earlier connections still say is
// dropped. The step's result comes back as an event.
func (x *run) begin(step func(ctx context.Context, post func(dispatcher.Msg)) dispatcher.Msg) {
	x.stop()
	ctx, cancel := context.WithCancel(x.ctx)
	x.stop = cancel
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

func (x *run) claim(ctx context.Context, effect dispatcher.ClaimEffect) dispatcher.Msg {
	answer, ok := x.command(ctx, messenger.Command{Kind: registrar.CommandClaim, Claim: &effect.Request})
	if !ok || answer.Claim == nil {
		return dispatcher.ClaimedMsg{Failed: true}
	}
	return dispatcher.ClaimedMsg{Answer: *answer.Claim}
}

func (x *run) report(ctx context.Context, effect dispatcher.ReportCrashEffect) dispatcher.Msg {
	crash := messenger.CrashRequest{Replica: effect.Replica, Fingerprints: []string{effect.Fingerprint}}
	answer, ok := x.command(ctx, messenger.Command{Kind: registrar.CommandCrash, Crash: &crash})
	if !ok || answer.Crash == nil || len(answer.Crash.Crashes) == 0 {
		return dispatcher.CrashReportedMsg{}
	}
	return dispatcher.CrashReportedMsg{CrashedReplicas: answer.Crash.Crashes[0]}
}

func (x *run) send(effect dispatcher.SendEffect) {
	c := x.call
	request := messenger.AttemptRequest{
		Request: c.id, Attempt: effect.Attempt, Group: effect.Target.Group, Epoch: effect.Target.Epoch,
		Incarnation: effect.Target.Incarnation, Index: x.syncer.Index(), Organisation: c.organisation,
		Fingerprint: c.fingerprint, Priority: c.priority, Repeatable: c.repeatable, Method: c.method, Path: c.path,
		ContentType: c.contentType, Accept: c.accept, Body: x.answer.body(), Suspect: effect.Suspect,
	}
	if c.deadline > 0 {
		request.DeadlineMs = max(1, int((c.deadline-x.now())/time.Millisecond))
	}
	x.answer.restart()
	x.log.Debug("attempt sent", "request", c.id, "attempt", effect.Attempt, "group", effect.Target.Group, "epoch", effect.Target.Epoch)
	x.begin(func(ctx context.Context, post func(dispatcher.Msg)) dispatcher.Msg {
		return x.follow(ctx, post, "http://"+effect.Target.Address+"/inner/attempt", request)
	})
}

func (x *run) attach(effect dispatcher.AttachEffect) {
	request := messenger.AttachRequest{Attempt: effect.Attempt, Offset: effect.Offset}
	x.begin(func(ctx context.Context, post func(dispatcher.Msg)) dispatcher.Msg {
		if effect.Pause {
			select {
			case <-ctx.Done():
			case <-time.After(attachPause):
			}
		}
		msg := x.follow(ctx, post, "http://"+effect.Target.Address+"/inner/attach", request)
		broken, ok := msg.(dispatcher.ConnectionLostMsg)
		if ok && !broken.AttemptUnknown {
			broken.Sent = true
			return broken
		}
		return msg
	})
}

// follow reads frames until the last one, a break, or silence. All frames but
// the last message go out as events of the current generation.
func (x *run) follow(ctx context.Context, post func(dispatcher.Msg), url string, request any) dispatcher.Msg {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(silenceLimit, func() { cancel(errSilent) })
	defer watchdog.Stop()
	response, err := x.client.Post(ctx, url, request)
	var status *transporter.StatusError
	switch {
	case errors.As(err, &status) && status.Status == http.StatusNotFound:
		return dispatcher.ConnectionLostMsg{Sent: true, AttemptUnknown: true}
	case errors.Is(err, transporter.ErrUnreachable):
		return dispatcher.ConnectionLostMsg{ConnectionRefused: errors.Is(err, transporter.ErrRefused)}
	case err != nil:
		return dispatcher.ConnectionLostMsg{Sent: true}
	}
	defer func() { _ = response.Body.Close() }()
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(make([]byte, 0, lineBytes), maxLineBytes)
	for scanner.Scan() {
		watchdog.Reset(silenceLimit)
		var frame messenger.Frame
		if json.Unmarshal(scanner.Bytes(), &frame) != nil {
			break
		}
		x.noteLoad(frame)
		if frame.Final {
			return dispatcher.FrameMsg{Frame: frame}
		}
		post(dispatcher.FrameMsg{Frame: frame})
	}
	return dispatcher.ConnectionLostMsg{Sent: true}
}

var errSilent = errors.New("the connection went silent")

// noteLoad takes the load report that an answer carries.
func (x *run) noteLoad(frame messenger.Frame) {
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

func (x *run) revoke(effect dispatcher.RevokeEffect) {
	request := messenger.RevokeRequest{Attempt: effect.Attempt, Incarnation: effect.Target.Incarnation, Cancel: effect.Cancel}
	url := "http://" + effect.Target.Address + "/inner/revoke"
	if effect.Cancel {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), revokeTimeout)
		defer cancel()
		var answer messenger.RevokeAnswer
		_ = x.client.Call(ctx, url, request, &answer)
		return
	}
	x.begin(func(ctx context.Context, _ func(dispatcher.Msg)) dispatcher.Msg {
		ctx, cancel := context.WithTimeout(ctx, revokeTimeout)
		defer cancel()
		var answer messenger.RevokeAnswer
		err := x.client.Call(ctx, url, request, &answer)
		return dispatcher.RevokedMsg{NotRun: err == nil && answer.NotRun, Failed: err != nil, State: answer.State}
	})
}

// conclude writes what is left of the answer, or the error.
func (x *run) conclude() {
	finish := *x.finish
	if finish.Verdict == dispatcher.Answered {
		finish = x.answer.complete(finish)
	}
	outcome := string(finish.Verdict)
	if finish.Verdict == dispatcher.Answered && x.call.deadline > 0 && x.answer.first > x.call.deadline {
		outcome = "late"
	}
	x.count(x.call, outcome)
	x.measure()
	x.judge(finish)
	x.log.Info("request ended", "request", x.call.id, "attempt", x.machine.AttemptID(), "organisation", x.call.organisation,
		"verdict", finish.Verdict, "kind", finish.Kind, "tries", x.machine.AttemptCount(), "took", (x.now() - x.call.began).Round(time.Millisecond))
	if finish.Verdict == dispatcher.Answered {
		x.clear()
		return
	}
	x.answer.fail(problem{statusOf(finish), finish.Kind, string(finish.Verdict), finish.Message})
}

// clear lifts the suspicion from an answered request.
func (x *run) clear() {
	if n := x.crashes(x.call.fingerprint); n == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), finishTimeout)
	defer cancel()
	x.command(ctx, messenger.Command{Kind: registrar.CommandClear, Clear: &messenger.ClearRequest{Fingerprint: x.call.fingerprint}})
}

func statusOf(finish dispatcher.FinishEffect) int {
	switch {
	case finish.Kind == "caller-gone":
		return statusGone
	case finish.Kind == "key-reused" || finish.Kind == "request-held":
		return http.StatusUnprocessableEntity
	case finish.Kind == "deadline":
		return http.StatusGatewayTimeout
	case finish.Kind == "overloaded" || finish.Kind == "retry-budget":
		return http.StatusTooManyRequests
	case finish.Verdict == dispatcher.NotRun:
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

func digestOf(h *xxhash.Digest) string { return hex.EncodeToString(h.Sum(nil)) }
