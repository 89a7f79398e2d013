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
	"papayaseam/internal/registrar"
	"papayaseam/internal/transporter"

	"github.com/cockroachdb/errors"
)

const readBytes = 16 << 10

const firstTokenSmoothing = 8

// execute carries out an effect that calls another process and reports its
// end.
func (s *Supervisor) execute(ctx context.Context, effect any) {
	defer func() { s.ended <- "effect" }()
	switch effect := effect.(type) {
	case granter.OrderEffect:
		s.order(ctx, effect.Order)
	case granter.RenewEffect:
		s.sendRenewal(ctx, effect)
	case granter.WithdrawEffect:
		call, cancel := context.WithTimeout(ctx, renewTimeout)
		defer cancel()
		var nothing struct{}
		if err := s.client.Call(call, "http://"+effect.Leader.Address+"/inner/withdraw", effect.Notice, &nothing); err != nil {
			s.log.Warn("withdrawal not delivered", "leader", effect.Leader.Instance, "err", err)
		}
	case messenger.CrashRequest:
		s.reportCrash(ctx, effect)
	case probeEffect:
		s.probe(ctx, effect)
	case lostEffect:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.update(granter.LostMsg{Address: effect.address})
	}
}

// lostEffect passes on that a connection to an address has closed.
type lostEffect struct{ address string }

// connectionLost takes a closed connection from the HTTP library, which must
// not wait for this process's tables.
func (s *Supervisor) connectionLost(address string) { s.queue(lostEffect{address}) }

// order gives an order to the endpoint, whose effect shows in announcements.
func (s *Supervisor) order(ctx context.Context, order messenger.Order) {
	s.mu.Lock()
	address := s.announced.Address
	s.mu.Unlock()
	if address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	var answer messenger.OrderAnswer
	err := s.oneShot.Call(ctx, "http://"+address+"/v1/orders", order, &answer)
	s.log.Info("order given", "action", order.Action, "group", order.Group, "model", order.Model, "version", order.Version,
		"rank", order.Rank, "fencing-number", order.FencingNumber, "accepted", answer.Accepted, "err", err)
}

func (s *Supervisor) sendRenewal(ctx context.Context, effect granter.RenewEffect) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	var answer messenger.RenewAnswer
	err := s.client.Call(ctx, "http://"+effect.Member.Address+"/inner/renew", effect.Request, &answer)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case errors.Is(err, transporter.ErrRefused):
		s.update(granter.GoneMsg{Group: effect.Request.Group, Epoch: effect.Request.Epoch, Instance: effect.Member.Instance})
	case err == nil:
		s.update(granter.RenewedMsg{Group: effect.Request.Group, Answer: answer})
		s.startWaiting()
	}
}

func (s *Supervisor) reportCrash(ctx context.Context, crash messenger.CrashRequest) {
	for _, address := range s.cfg.ControlAddresses {
		var answer messenger.CommandAnswer
		call, cancel := context.WithTimeout(ctx, orderTimeout)
		err := s.client.Call(call, "http://"+address+"/inner/command", messenger.Command{Kind: registrar.CommandCrash, Crash: &crash}, &answer)
		cancel()
		if err == nil && answer.Crash != nil {
			s.log.Warn("crash reported", "replica", crash.Replica, "fingerprints", len(crash.Fingerprints))
			return
		}
	}
}

// start sends an admitted attempt to the endpoint; mu is held and the grants
// have just been checked.
func (s *Supervisor) start(effect admitter.StartEffect) {
	a := s.attempts[effect.ID]
	lead, _ := s.granter.Leads()
	ctx, cancel := context.WithCancel(s.base)
	a.cancel = cancel
	call := endpointCall{
		address: s.announced.Address, started: s.announced.Started, epoch: lead.Spec.Epoch, replica: s.replica(), began: s.now(),
	}
	go s.run(ctx, a, call)
}

// endpointCall is what an attempt's call depends on at its start.
type endpointCall struct {
	address string
	started string
	epoch   int
	replica string
	began   time.Duration
}

// run calls the endpoint, keeps its answer, and reports the attempt's end.
func (s *Supervisor) run(ctx context.Context, a *attempt, call endpointCall) {
	defer func() { s.ended <- a.request.Attempt }()
	defer a.cancel()
	final := s.callEndpoint(ctx, a, call)
	s.mu.Lock()
	defer s.mu.Unlock()
	final.Load = s.load()
	if a.end(final) {
		s.log.Info("attempt ended", "request", a.request.Request, "attempt", a.request.Attempt, "verdict", final.Verdict, "kind", final.Kind)
	}
	if final.Kind == granter.ReasonEndpointDown {
		s.queue(messenger.CrashRequest{Replica: call.replica, Fingerprints: []string{a.request.Fingerprint}})
	}
	s.keep(a)
	s.admit(admitter.FinishMsg{ID: a.request.Attempt})
	s.noteRunning()
	s.startWaiting()
}

func (s *Supervisor) callEndpoint(ctx context.Context, a *attempt, call endpointCall) messenger.Frame {
	request, err := newEndpointRequest(ctx, a, call)
	if err != nil {
		return messenger.Frame{Verdict: "not-run", Kind: "invalid-request", Message: err.Error()}
	}
	client := s.client
	if !a.request.Repeatable {
		client = s.oneShot
	}
	response, err := client.Do(request)
	if errors.Is(err, transporter.ErrUnreachable) {
		return messenger.Frame{Verdict: "not-run", Kind: "endpoint-unreachable", Message: "the endpoint could not be reached"}
	}
	if err != nil {
		return s.brokenCall(ctx, call)
	}
	defer func() { _ = response.Body.Close() }()
	if echoed := response.Header.Get("X-Attempt-Id"); echoed != "" && echoed != a.request.Attempt {
		return messenger.Frame{Verdict: "may-have-run", Kind: "foreign-answer", Message: "the endpoint answered another attempt"}
	}
	a.begin(response.StatusCode, response.Header.Get("Content-Type"))
	return s.copyAnswer(ctx, a, call, response.Body)
}

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

// copyAnswer keeps the body until its end.
func (s *Supervisor) copyAnswer(ctx context.Context, a *attempt, call endpointCall, body io.Reader) messenger.Frame {
	buffer := make([]byte, readBytes)
	for first := true; ; first = false {
		n, err := body.Read(buffer)
		if n > 0 && !a.add(buffer[:n]) {
			return messenger.Frame{Verdict: "may-have-run", Kind: "answer-too-long", Message: "the answer is longer than an attempt may keep"}
		}
		if n > 0 && first {
			s.noteFirst(s.now() - call.began)
		}
		if errors.Is(err, io.EOF) {
			return messenger.Frame{Verdict: "answered"}
		}
		if err != nil {
			return s.brokenCall(ctx, call)
		}
	}
}

func (s *Supervisor) noteFirst(took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.first += (took - s.first) / firstTokenSmoothing
}

// brokenCall tells a crash of the endpoint from a lost connection: the
// endpoint is asked over a new connection whether it still is the same one.
func (s *Supervisor) brokenCall(ctx context.Context, call endpointCall) messenger.Frame {
	if ctx.Err() != nil {
		return messenger.Frame{Verdict: "may-have-run", Kind: "cut", Message: "the call was ended"}
	}
	if s.probe(ctx, probeEffect{address: call.address, started: call.started}) {
		return messenger.Frame{Verdict: "may-have-run", Kind: "endpoint-broke", Message: "the endpoint ended the answer early"}
	}
	return messenger.Frame{Verdict: "may-have-run", Kind: granter.ReasonEndpointDown, Message: "the endpoint crashed", Replica: call.replica}
}

// probeEffect asks whether an incarnation of the endpoint still runs.
type probeEffect struct {
	address string
	started string
}

// probe asks the endpoint over a new connection whether it still is the same
// one, and takes it for dead where it is not.
func (s *Supervisor) probe(ctx context.Context, effect probeEffect) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var current messenger.Announcement
	err := s.oneShot.Get(ctx, "http://"+effect.address+"/v1/announcement", &current)
	if err == nil && current.Started == effect.started {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.announced.Started == effect.started {
		s.log.Warn("endpoint dead", "endpoint", effect.address)
		s.endpointLost()
	}
	return false
}
