package gatekeeper

import (
	"context"
	"io"
	"net/http"

	"papayaseam/internal/chooser"
	"papayaseam/internal/timekeeper"
	"papayaseam/internal/transporter"

	"github.com/cockroachdb/errors"
)

const (
	// maxBufferedBytes bounds a response that is buffered until it is complete.
	maxBufferedBytes = 16 << 20
	// bufferPoolBytes bounds the memory of all large responses that are buffered at
	// once. It is a sixth of the smallest entry's memory.
	bufferPoolBytes = 32 << 20
)

// verdict is what is known about the execution of an attempt.
type verdict int

const (
	answered        verdict = iota
	notExecuted             // notExecuted means that the endpoint did not and will not execute the request.
	mayHaveExecuted         // mayHaveExecuted means that the endpoint may have executed the request.
)

// String returns the name of the verdict in logs.
func (v verdict) String() string { return [...]string{"answered", "not-run", "may-have-run"}[v] }

// errAttemptMismatch reports a response that belongs to another request.
var errAttemptMismatch = errors.New("the response carries another attempt id than the request; connection closed")

// dispatch sends the request to an endpoint and returns the response with an
// unread body. The request body cannot be replayed, so that net/http never
// retries the request by itself.
func (g *Gatekeeper) dispatch(ctx context.Context, e *exchange, target chooser.Target) (*http.Response, ResponseMetadata, verdict, error) {
	e.attempts++
	e.attemptEventAt = 0
	e.suspected = nil
	if active := g.active.Load(); e.organisation != "" && g.expired(active) {
		return nil, ResponseMetadata{}, notExecuted, errors.New("the lease on the configuration has expired")
	}
	if g.isClosed(target) {
		return nil, ResponseMetadata{}, notExecuted, errEvacuated
	}
	if !g.maySend(e, target) {
		return nil, ResponseMetadata{}, notExecuted, errNoShare
	}
	request, err := newForwardRequest(ctx, e, target.Address)
	if err != nil {
		return nil, ResponseMetadata{}, notExecuted, errors.Wrap(err, "build request")
	}
	request.ContentLength = int64(e.body.Len())
	request.Host = e.r.Host
	request.Header = g.dialect.ForwardHeader(e.r.Header, ForwardMetadata{
		Instance: target.ID, Organisation: e.organisation, Timeout: g.stop.Load().boundDeadline(e.deadline) - timekeeper.Now(), LastEventID: e.lastEventID,
		Urgency: e.urgency(), Rank: e.decision.Rank, Ranks: e.decision.Ranks,
	})
	response, connection, err := g.endpointClient.DoOn(request)
	g.recordSentWhileAway(e, target, connection.SentAt())
	g.recordSentToEvacuated(e, target, connection.SentAt())
	if errors.Is(err, transporter.ErrUnreachable) {
		g.noteBroken(ctx, e, target)
		return nil, ResponseMetadata{}, notExecuted, err
	}
	if err != nil {
		e.reachedEndpoint = true
		return nil, ResponseMetadata{}, mayHaveExecuted, err
	}
	metadata := g.dialect.ParseResponse(response.StatusCode, response.Header)
	if !answersAttempt(e.metadata.AttemptID, metadata, connection.Reused()) {
		e.reachedEndpoint = true
		connection.Abandon()
		_ = response.Body.Close()
		return nil, metadata, mayHaveExecuted, errAttemptMismatch
	}
	g.recordLoad(target, metadata)
	g.recordNotice(target, metadata)
	if metadata.NotExecuted {
		transporter.Discard(response.Body)
		return response, metadata, notExecuted, nil
	}
	e.reachedEndpoint = true
	return response, metadata, answered, nil
}

// newForwardRequest returns a request with the method, target and body that the client
// sent.
func newForwardRequest(ctx context.Context, e *exchange, address string) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, e.r.Method, "http://"+address, io.NopCloser(e.body.Reader()))
	if err != nil {
		return nil, err
	}
	target, _ := requestTarget(e.r)
	request.URL, err = forwardURL(address, target)
	return request, err
}

// answersAttempt reports whether a response belongs to the attempt with the given id.
// Faulty endpoints write earlier responses once more. A refusal without an id is
// believed only where the connection carried no earlier exchange.
func answersAttempt(id string, metadata ResponseMetadata, reused bool) bool {
	if metadata.AttemptID == "" && metadata.NotExecuted {
		return !reused
	}
	return id == "" || metadata.AttemptID == id
}

// recordLoad reports the load that an endpoint attached to its response to the
// chooser.
func (g *Gatekeeper) recordLoad(target chooser.Target, metadata ResponseMetadata) {
	if !metadata.HasLoad {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.chooser.Update(chooser.LoadMsg{Now: timekeeper.Now(), ID: target.ID, Running: metadata.Running, Waiting: metadata.Waiting})
}

// isServerError reports whether a response is a failure of the endpoint itself,
// so that another endpoint may succeed.
func isServerError(status int) bool { return status >= http.StatusInternalServerError }

// serveBuffered forwards a request and buffers the response until it is complete,
// so that a failed attempt can be retried at another endpoint.
func (g *Gatekeeper) serveBuffered(ctx context.Context, e *exchange) {
	for {
		target, ok := g.pickEndpoint(e)
		if !ok {
			g.finishFailed(ctx, e)
			return
		}
		response, body, v, err := g.fetchBuffered(ctx, e, target)
		lastAttempt := e.attempts >= max(e.route.MaxAttempts, 1)
		if v == answered && !(isServerError(response.StatusCode) && e.route.Repeatable() && !lastAttempt) {
			g.writeResponse(e, response, body)
			return
		}
		if v == answered {
			e.serverError = &bufferedResponse{response, body}
		}
		e.tried = append(e.tried, target.ID)
		if ctx.Err() != nil || (v == mayHaveExecuted && !e.route.Repeatable()) {
			e.failureReason = "the attempt broke"
			g.log.Info("attempt failed", "attempt", e.metadata.AttemptID, "endpoint", target.ID, "err", err)
			g.finishFailed(ctx, e)
			return
		}
	}
}

// bufferedResponse is a server error of an endpoint. It is returned to the client
// if no later attempt succeeds.
type bufferedResponse struct {
	response *http.Response
	body     []byte
}

// fetchBuffered makes one attempt and reads its complete response.
func (g *Gatekeeper) fetchBuffered(ctx context.Context, e *exchange, target chooser.Target) (*http.Response, []byte, verdict, error) {
	response, _, v, err := g.dispatch(ctx, e, target)
	if v != answered {
		g.recordAttemptEnd(target, attemptOutcome(ctx, v))
		if v == mayHaveExecuted {
			g.inspectBreak(ctx, e, target)
		}
		return nil, nil, v, err
	}
	body, err := g.readResponseBody(e, response)
	_ = response.Body.Close()
	if err != nil {
		g.recordAttemptEnd(target, attemptOutcome(ctx, mayHaveExecuted))
		g.inspectBreak(ctx, e, target)
		return nil, nil, mayHaveExecuted, err
	}
	g.recordAttemptEnd(target, chooser.Served)
	if response.StatusCode < http.StatusBadRequest {
		g.recordCompletion(e)
	}
	return response, body, answered, nil
}

// readResponseBody reads a response body. The bytes it takes from the buffer pool
// are released when the exchange ends.
func (g *Gatekeeper) readResponseBody(e *exchange, response *http.Response) ([]byte, error) {
	body, pooledBytes, err := g.bufferPool.Read(response.Body, maxBufferedBytes)
	e.pooledBytes += pooledBytes
	return body, err
}

// attemptOutcome returns how the chooser counts an attempt without a complete
// response.
func attemptOutcome(ctx context.Context, v verdict) chooser.Outcome {
	switch {
	case ctx.Err() != nil:
		return chooser.Canceled
	case v == notExecuted:
		return chooser.Refused
	}
	return chooser.Failed
}

// promisesNotExecuted reports whether a status tells a client that its request has not run
// and never will.
func promisesNotExecuted(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout
}

// writeResponse passes an endpoint's response on. A refusal that does not state that the
// request was not executed is none: its status would promise more than is known of a
// request that must not be repeated.
func (g *Gatekeeper) writeResponse(e *exchange, response *http.Response, body []byte) {
	if promisesNotExecuted(response.StatusCode) && !e.route.Repeatable() {
		g.fail(e, http.StatusBadGateway, "the endpoint refused it without a word on whether it ran")
		return
	}
	e.outcome = "answered"
	e.body.Release() // No further attempt sends it.
	g.announceStop(e)
	g.dialect.CopyResponseHeader(e.w.Header(), response.Header)
	e.w.WriteHeader(response.StatusCode)
	_, _ = e.w.Write(body)
}

// finishFailed answers a request for which no attempt succeeded. It returns the
// last server error of an endpoint, if there is one.
func (g *Gatekeeper) finishFailed(ctx context.Context, e *exchange) {
	switch {
	case e.r.Context().Err() != nil:
		e.outcome = "left"
		panic(http.ErrAbortHandler)
	case e.serverError != nil:
		g.writeResponse(e, e.serverError.response, e.serverError.body)
	case g.ending.Err() != nil:
		g.fail(e, http.StatusGatewayTimeout, stopReason)
	case ctx.Err() != nil:
		g.fail(e, http.StatusGatewayTimeout, "the time limit is over")
	default:
		g.fail(e, http.StatusBadGateway, e.failureReason)
	}
}
