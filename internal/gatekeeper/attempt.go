package gatekeeper

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"papayaseam/internal/chooser"
	"papayaseam/internal/timekeeper"
	"papayaseam/internal/transporter"

	"github.com/cockroachdb/errors"
)

const (
	// maxWhole bounds an answer that is held until it is whole.
	maxWhole = 16 << 20
	// heldBytes bounds what large answers under way hold together, a sixth of the
	// smallest entry's memory.
	heldBytes = 32 << 20
)

// verdict is what is known of an attempt.
type verdict int

const (
	answered verdict = iota
	notRun           // notRun means that the request did not and will not run at the endpoint.
	unknown          // unknown means that it may have run.
)

// String returns the verdict's name.
func (v verdict) String() string { return [...]string{"answered", "not-run", "may-have-run"}[v] }

// errForeign marks an answer that belongs to another request.
var errForeign = errors.New("the answer belongs to another request; its connection is dropped")

// dispatch sends the request to an endpoint and returns the answer's head. The
// body of the request is not replayable, so that the library never sends it
// twice by itself.
func (g *Gatekeeper) dispatch(ctx context.Context, e *exchange, target chooser.Target) (*http.Response, ResponseMetadata, verdict, error) {
	e.attempts++
	if s := g.current.Load(); e.organisation != "" && g.expired(s) {
		return nil, ResponseMetadata{}, notRun, errors.New("the configuration was not confirmed of late")
	}
	url := "http://" + target.Address + e.r.URL.RequestURI()
	request, err := http.NewRequestWithContext(ctx, e.r.Method, url, io.NopCloser(bytes.NewReader(e.body)))
	if err != nil {
		return nil, ResponseMetadata{}, notRun, errors.Wrap(err, "build the request")
	}
	request.ContentLength = int64(len(e.body))
	request.Host = e.r.Host
	request.Header = g.dialect.ForwardHeader(e.r.Header, ForwardMetadata{
		Instance: target.ID, Organisation: e.organisation, Timeout: e.until - timekeeper.Now(), LastEventID: e.lastEvent,
		Urgency: e.urgency(),
	})
	response, err := g.client.Do(request)
	if errors.Is(err, transporter.ErrUnreachable) {
		return nil, ResponseMetadata{}, notRun, err
	}
	if err != nil {
		e.offered = true
		return nil, ResponseMetadata{}, unknown, err
	}
	answer := g.dialect.ParseResponse(response.StatusCode, response.Header)
	if answer.AttemptID != e.call.AttemptID && e.call.AttemptID != "" && !answer.NotExecuted {
		e.offered = true
		_ = response.Body.Close()
		return nil, answer, unknown, errForeign
	}
	g.noteAnswer(target, answer)
	if answer.NotExecuted {
		transporter.Discard(response.Body)
		return response, answer, notRun, nil
	}
	e.offered = true
	return response, answer, answered, nil
}

func (g *Gatekeeper) noteAnswer(target chooser.Target, answer ResponseMetadata) {
	if !answer.HasLoad {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.chooser.Update(chooser.LoadMsg{Now: timekeeper.Now(), ID: target.ID, Running: answer.Running, Waiting: answer.Waiting})
}

// retryable reports whether a server's own failure may be tried elsewhere.
func retryable(status int) bool { return status >= http.StatusInternalServerError }

// serveWhole forwards a request whose answer is held until it is whole.
func (g *Gatekeeper) serveWhole(ctx context.Context, e *exchange) {
	for {
		target, ok := g.pick(e)
		if !ok {
			g.giveUp(ctx, e)
			return
		}
		response, body, v, err := g.whole(ctx, e, target)
		last := e.attempts >= max(e.route.MaxAttempts, 1)
		if v == answered && !(retryable(response.StatusCode) && e.route.Repeatable() && !last) {
			g.writeWhole(e, response, body)
			return
		}
		if v == answered {
			e.kept = &keptAnswer{response, body}
		}
		e.avoid = append(e.avoid, target.ID)
		if ctx.Err() != nil || (v == unknown && !e.route.Repeatable()) {
			e.why = "the attempt broke"
			g.log.Info("attempt broke", "attempt", e.call.AttemptID, "endpoint", target.ID, "err", err)
			g.giveUp(ctx, e)
			return
		}
	}
}

// keptAnswer is a failure of an endpoint that is passed on where no other
// attempt does better.
type keptAnswer struct {
	response *http.Response
	body     []byte
}

// whole makes one attempt and reads its whole answer.
func (g *Gatekeeper) whole(ctx context.Context, e *exchange, target chooser.Target) (*http.Response, []byte, verdict, error) {
	response, _, v, err := g.dispatch(ctx, e, target)
	if v != answered {
		g.ended(target, outcomeOf(ctx, v))
		return nil, nil, v, err
	}
	body, err := g.readWhole(e, response)
	_ = response.Body.Close()
	if err != nil {
		g.ended(target, outcomeOf(ctx, unknown))
		return nil, nil, unknown, err
	}
	g.ended(target, chooser.Served)
	return response, body, answered, nil
}

// readWhole reads an answer; what it holds is given back when the exchange ends.
func (g *Gatekeeper) readWhole(e *exchange, response *http.Response) ([]byte, error) {
	body, held, err := g.bodies.Read(response.Body, maxWhole)
	e.held += held
	return body, err
}

func outcomeOf(ctx context.Context, v verdict) chooser.Outcome {
	switch {
	case ctx.Err() != nil:
		return chooser.Canceled
	case v == notRun:
		return chooser.Refused
	}
	return chooser.Failed
}

func (g *Gatekeeper) writeWhole(e *exchange, response *http.Response, body []byte) {
	e.outcome = "answered"
	g.dialect.CopyResponseHeader(e.w.Header(), response.Header)
	e.w.WriteHeader(response.StatusCode)
	_, _ = e.w.Write(body)
}

// giveUp answers a request that no endpoint has answered.
func (g *Gatekeeper) giveUp(ctx context.Context, e *exchange) {
	switch {
	case e.r.Context().Err() != nil:
		e.outcome = "left"
		panic(http.ErrAbortHandler)
	case e.kept != nil:
		g.writeWhole(e, e.kept.response, e.kept.body)
	case ctx.Err() != nil:
		g.fail(e, http.StatusGatewayTimeout, "the time limit is over")
	default:
		g.fail(e, http.StatusBadGateway, e.why)
	}
}
