package gatekeeper

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"mime"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"papayaseam/internal/chooser"
	"papayaseam/internal/throttler"
	"papayaseam/internal/timekeeper"

	"github.com/cockroachdb/errors"
)

const (
	streamBufferBytes = 4 << 10
	// maxEventBytes is far above the size of an event with a few tokens.
	maxEventBytes = 128 << 10
	// eventTimeout bounds the time from the first to the last byte of an event.
	// Endpoints send an event in one piece, and clients give up after two seconds
	// without one.
	eventTimeout = time.Second
)

// errEventTimeout is the cancellation cause of a stream with an event that does
// not end in time.
var errEventTimeout = errors.New("event did not end in time; stream closed")

// errNotContinued is returned for the response of an endpoint at which a stream was
// to be resumed, if it is an error or no stream.
var errNotContinued = errors.New("response does not continue the stream; trying another endpoint")

// errEventRepeated is returned for an endpoint that does not go on after the events
// that the client has.
var errEventRepeated = errors.New("event is not after the last one that the client has; stream closed")

// errEventTooLong is returned for an event above maxEventBytes.
var errEventTooLong = errors.New("event exceeds the size limit; stream closed")

// streamAttempt is one attempt whose response is forwarded event by event.
type streamAttempt struct {
	target  chooser.Target
	cancel  context.CancelCauseFunc
	content []contentKey // content holds the keys of the request's content.
	begun   atomic.Bool  // begun means that the first event of the attempt arrived.
}

// serveStream forwards a stream and resumes it at another endpoint if it is
// interrupted.
func (g *Gatekeeper) serveStream(ctx context.Context, e *exchange) {
	for {
		target, ok := g.pickOrWait(ctx, e)
		if !ok {
			g.finishFailed(ctx, e)
			return
		}
		done, v, err := g.forwardStream(ctx, e, target)
		if done {
			return
		}
		e.tried = append(e.tried, target.ID)
		g.log.Info("stream interrupted", "attempt", e.metadata.AttemptID, "endpoint", target.ID, "group", target.Group, "verdict", v, "begun", e.responseStarted, "err", err)
		if ctx.Err() != nil || (v == mayHaveExecuted && !e.route.Repeatable()) {
			e.failureReason = "the stream broke"
			g.finishFailed(ctx, e)
			return
		}
	}
}

// pickOrWait picks an endpoint. If the response has started, it waits up to
// resumeTimeout for one with a free slot.
func (g *Gatekeeper) pickOrWait(ctx context.Context, e *exchange) (chooser.Target, bool) {
	target, ok := g.pickEndpoint(e)
	if ok || !e.responseStarted || e.held || e.attempts >= max(e.route.MaxAttempts, 1) {
		return target, ok
	}
	ctx, cancel := context.WithTimeout(ctx, resumeTimeout)
	defer cancel()
	ticker := time.NewTicker(resumePollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return target, false
		case <-ticker.C:
		}
		if target, ok = g.pickEndpoint(e); ok {
			return target, true
		}
	}
}

const (
	// resumeTimeout is shorter than a client waits for the next event.
	resumeTimeout      = 1200 * time.Millisecond
	resumePollInterval = 25 * time.Millisecond
)

// forwardStream makes one attempt; done means that the client has its complete
// response.
func (g *Gatekeeper) forwardStream(ctx context.Context, e *exchange, target chooser.Target) (done bool, v verdict, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s := &streamAttempt{target: target, cancel: cancel, content: e.content}
	g.addStream(s)
	outcome := chooser.Failed
	defer func() { g.removeStream(s, outcome) }()
	response, _, v, err := g.dispatch(ctx, e, target)
	if v != answered {
		outcome = attemptOutcome(ctx, v)
		if v == mayHaveExecuted {
			g.inspectBreak(ctx, e, target)
		}
		return false, v, err
	}
	defer func() { _ = response.Body.Close() }()
	if e.responseStarted && !e.continues(response) {
		return false, mayHaveExecuted, errors.Wrapf(errNotContinued, "endpoint returned status %d, type %q", response.StatusCode, response.Header.Get("Content-Type"))
	}
	if response.StatusCode != http.StatusOK {
		outcome = chooser.Served
		return g.forwardFailure(e, response)
	}
	e.responseHeader = response.Header
	err = g.forwardEvents(e, s, response.Body)
	if err != nil {
		outcome = attemptOutcome(ctx, mayHaveExecuted)
		g.inspectBreak(ctx, e, target)
		return false, mayHaveExecuted, err
	}
	outcome = chooser.Served
	e.outcome = "answered"
	g.recordSurvival(e)
	if !e.responseStarted {
		g.writeStreamHeader(e)
	}
	return true, answered, nil
}

// writeStreamHeader sends the response header of the endpoint whose event is
// forwarded first. It is not sent earlier, because an error response of this entry
// must not carry any of it.
func (g *Gatekeeper) writeStreamHeader(e *exchange) {
	e.responseStarted = true
	g.announceStop(e)
	g.dialect.CopyResponseHeader(e.w.Header(), e.responseHeader)
	e.w.WriteHeader(http.StatusOK)
}

// continues reports whether a response continues the stream that the client has in
// part: a success of the same media type.
func (e *exchange) continues(response *http.Response) bool {
	return response.StatusCode == http.StatusOK && mediaType(response.Header) == mediaType(e.w.Header())
}

func mediaType(h http.Header) string {
	kind, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	if err != nil {
		return ""
	}
	return kind
}

// forwardFailure forwards an error response of an endpoint as the response to the
// client, which has not started.
func (g *Gatekeeper) forwardFailure(e *exchange, response *http.Response) (bool, verdict, error) {
	body, err := g.readResponseBody(e, response)
	if err != nil {
		return false, mayHaveExecuted, errors.Newf("endpoint returned status %d", response.StatusCode)
	}
	g.writeResponse(e, response, body)
	return true, answered, nil
}

func (g *Gatekeeper) addStream(s *streamAttempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.streams[s] = struct{}{}
	o := g.observations[s.target.ID]
	if o == nil || o.bootTime != s.target.BootTime {
		o = &observation{bootTime: s.target.BootTime}
		g.observations[s.target.ID] = o
	}
	if o.openStreams == 0 {
		o.lastActivity = timekeeper.Now()
	}
	o.openStreams++
}

func (g *Gatekeeper) removeStream(s *streamAttempt, outcome chooser.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.streams, s)
	if o := g.observations[s.target.ID]; o != nil && o.bootTime == s.target.BootTime {
		o.openStreams--
		if o.openStreams <= 0 {
			delete(g.observations, s.target.ID)
		}
	}
	now := timekeeper.Now()
	if outcome == chooser.Failed {
		g.doubts.add(s.target, now)
	}
	g.chooser.Update(chooser.AttemptEndedMsg{ID: s.target.ID, Now: now, Outcome: outcome})
}

func (g *Gatekeeper) recordActivity(s *streamAttempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if o := g.observations[s.target.ID]; o != nil {
		o.lastActivity = timekeeper.Now()
	}
}

// recordProgress records the first event of an attempt, and that the attempt goes on
// after it.
func (g *Gatekeeper) recordProgress(e *exchange, s *streamAttempt) {
	now := timekeeper.Now()
	if e.attemptEventAt == 0 {
		e.attemptEventAt = now
		s.begun.Store(true)
		g.noteBegun(e)
	}
	if now-e.attemptEventAt >= beginPeriod {
		g.recordSurvival(e)
	}
}

// recordFirstEvent reports the latency of the first event to the throttler. It
// skips retries of the client and of this entry.
func (g *Gatekeeper) recordFirstEvent(e *exchange) {
	if e.responseStarted || e.clientRetry || e.attempts > 1 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.throttler.Update(throttler.FirstEventMsg{Model: e.metadata.Model, Latency: timekeeper.Now() - e.startedAt, Objective: e.route.Objective})
}

// forwardEvents forwards complete events as they arrive. It returns nil at the
// regular end of the stream and an error if the stream is interrupted. A partial
// event is never forwarded.
func (g *Gatekeeper) forwardEvents(e *exchange, s *streamAttempt, body io.Reader) error {
	reader := bufio.NewReaderSize(body, streamBufferBytes)
	flusher := http.NewResponseController(e.w)
	var event []byte
	eventTimer := time.AfterFunc(eventTimeout, func() { s.cancel(errEventTimeout) })
	eventTimer.Stop()
	defer eventTimer.Stop()
	for {
		line, err := reader.ReadSlice('\n')
		if len(event) == 0 {
			eventTimer.Reset(eventTimeout)
		}
		event = append(event, line...)
		if len(event) > maxEventBytes {
			return errEventTooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return streamEndError(event, err)
		}
		if !endsEvent(event) {
			continue
		}
		eventTimer.Stop()
		g.recordActivity(s)
		g.recordFirstEvent(e)
		g.recordProgress(e, s)
		if err := g.writeEvent(e, event); err != nil {
			return err
		}
		event = event[:0]
		if !hasBufferedEvent(reader) {
			_ = flusher.Flush()
		}
	}
}

// endsEvent reports whether the last of some whole lines is empty.
func endsEvent(lines []byte) bool {
	rest := bytes.TrimRight(bytes.TrimSuffix(lines, []byte("\n")), "\r")
	return len(rest) == 0 || rest[len(rest)-1] == '\n'
}

// hasBufferedEvent reports whether another complete event is buffered, so that
// both can be flushed in one write.
func hasBufferedEvent(reader *bufio.Reader) bool {
	buffered, _ := reader.Peek(reader.Buffered())
	return bytes.Contains(buffered, []byte("\n\n"))
}

// streamEndError returns nil if an endpoint's stream ended regularly, given the
// bytes after the last complete event and the read error.
func streamEndError(partial []byte, err error) error {
	if !errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return err
	}
	if len(partial) > 0 {
		return errors.Wrap(io.ErrUnexpectedEOF, "stream ended within an event")
	}
	return nil
}

// writeEvent forwards one event and records its id for a resumption. It refuses one
// that the client has already.
func (g *Gatekeeper) writeEvent(e *exchange, event []byte) error {
	id := eventID(event)
	if e.responseStarted && e.repeats(id) {
		return errEventRepeated
	}
	now := timekeeper.Now()
	if !e.responseStarted {
		e.firstEventAt = now
		g.writeStreamHeader(e)
	} else {
		e.longestGap = max(e.longestGap, now-e.lastEventAt)
	}
	e.lastEventAt = now
	if _, err := e.w.Write(event); err != nil {
		return err
	}
	if id != "" {
		e.lastEventID = id
	}
	return nil
}

// eventID returns the id of an event, or "" if it has none.
func eventID(event []byte) string {
	last := ""
	for _, line := range bytes.Split(event, []byte("\n")) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			last = string(bytes.TrimSpace(id))
		}
	}
	return last
}

// repeats reports whether an event with the given id is not after the last one that
// the client has. Ids that are no numbers can not be compared.
func (e *exchange) repeats(id string) bool {
	next, err := strconv.ParseUint(id, 10, 64)
	last, lastErr := strconv.ParseUint(e.lastEventID, 10, 64)
	return err == nil && lastErr == nil && next <= last
}
