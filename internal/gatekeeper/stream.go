package gatekeeper

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"papayaseam/internal/chooser"
	"papayaseam/internal/throttler"
	"papayaseam/internal/timekeeper"

	"github.com/cockroachdb/errors"
)

const (
	streamBuffer = 4 << 10
	// maxEvent is far above an event of some tokens.
	maxEvent = 128 << 10
	// eventWithin is how long the bytes of one event may take: they are sent
	// together, and a client leaves after two seconds without one.
	eventWithin = time.Second
)

// errEventUnfinished ends a stream whose event goes on and on.
var errEventUnfinished = errors.New("the bytes of an event go on without its end; the stream is cut")

// errEventTooLong ends a stream whose event has no end.
var errEventTooLong = errors.New("an event is longer than any sound one; the stream is cut")

// stream is one attempt whose answer is forwarded as it comes.
type stream struct {
	target chooser.Target
	cancel context.CancelCauseFunc
}

// serveStream forwards a stream and goes on elsewhere where it breaks.
func (g *Gatekeeper) serveStream(ctx context.Context, e *exchange) {
	for {
		target, ok := g.pickSoon(ctx, e)
		if !ok {
			g.giveUp(ctx, e)
			return
		}
		done, v, err := g.streamOnce(ctx, e, target)
		if done {
			return
		}
		e.avoid = append(e.avoid, target.ID)
		g.log.Info("stream broke", "attempt", e.call.AttemptID, "endpoint", target.ID, "group", target.Group, "verdict", v, "begun", e.writing, "err", err)
		if ctx.Err() != nil || (v == unknown && !e.route.Repeatable()) {
			e.why = "the stream broke"
			g.giveUp(ctx, e)
			return
		}
	}
}

// pickSoon is pick, but waits for a place where the answer has begun.
func (g *Gatekeeper) pickSoon(ctx context.Context, e *exchange) (chooser.Target, bool) {
	target, ok := g.pick(e)
	if ok || !e.writing || e.attempts >= max(e.route.MaxAttempts, 1) {
		return target, ok
	}
	ctx, cancel := context.WithTimeout(ctx, resumeWithin)
	defer cancel()
	ticker := time.NewTicker(resumeEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return target, false
		case <-ticker.C:
		}
		if target, ok = g.pick(e); ok {
			return target, true
		}
	}
}

const (
	// resumeWithin is less than a client waits for the next event.
	resumeWithin = 1200 * time.Millisecond
	resumeEvery  = 25 * time.Millisecond
)

// streamOnce makes one attempt; done tells that the client has its answer.
func (g *Gatekeeper) streamOnce(ctx context.Context, e *exchange, target chooser.Target) (done bool, v verdict, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s := &stream{target: target, cancel: cancel}
	g.register(s)
	outcome := chooser.Failed
	defer func() { g.unregister(s, outcome) }()
	response, _, v, err := g.dispatch(ctx, e, target)
	if v != answered {
		outcome = outcomeOf(ctx, v)
		return false, v, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		outcome = chooser.Served
		return g.passFailure(e, response)
	}
	e.header = response.Header
	err = g.pump(e, s, response.Body)
	if err != nil {
		outcome = outcomeOf(ctx, unknown)
		return false, unknown, err
	}
	outcome = chooser.Served
	e.outcome = "answered"
	if !e.writing {
		g.begin(e)
	}
	return true, answered, nil
}

// begin writes the head of a stream's answer, that of the endpoint whose event
// comes first; an answer of our own must bear none of it.
func (g *Gatekeeper) begin(e *exchange) {
	e.writing = true
	g.dialect.CopyResponseHeader(e.w.Header(), e.header)
	e.w.WriteHeader(http.StatusOK)
}

// passFailure passes an endpoint's own failure on, unless the answer has begun.
func (g *Gatekeeper) passFailure(e *exchange, response *http.Response) (bool, verdict, error) {
	body, err := g.readWhole(e, response)
	if err != nil || e.writing {
		return false, unknown, errors.Newf("the endpoint answered %d", response.StatusCode)
	}
	g.writeWhole(e, response, body)
	return true, answered, nil
}

func (g *Gatekeeper) register(s *stream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.streams[s] = struct{}{}
	seen := g.seen[s.target.ID]
	if seen == nil || seen.born != s.target.BootTime {
		seen = &sight{born: s.target.BootTime}
		g.seen[s.target.ID] = seen
	}
	if seen.open == 0 {
		seen.last = timekeeper.Now()
	}
	seen.open++
}

func (g *Gatekeeper) unregister(s *stream, outcome chooser.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.streams, s)
	if seen := g.seen[s.target.ID]; seen != nil && seen.born == s.target.BootTime {
		seen.open--
		if seen.open <= 0 {
			delete(g.seen, s.target.ID)
		}
	}
	g.chooser.Update(chooser.AttemptEndedMsg{ID: s.target.ID, Now: timekeeper.Now(), Outcome: outcome})
}

func (g *Gatekeeper) noteBytes(s *stream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if seen := g.seen[s.target.ID]; seen != nil {
		seen.last = timekeeper.Now()
	}
}

// noteFirst tells how soon the first event of a usual request came.
func (g *Gatekeeper) noteFirst(e *exchange) {
	if e.writing || e.patient || e.attempts > 1 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.throttle.Update(throttler.FirstEventMsg{Model: e.call.Model, Latency: timekeeper.Now() - e.began, Objective: e.route.Objective})
}

// pump forwards whole events as they come. It returns nil at the stream's own
// end, and an error where it broke; a part of an event is never forwarded.
func (g *Gatekeeper) pump(e *exchange, s *stream, body io.Reader) error {
	reader := bufio.NewReaderSize(body, streamBuffer)
	flusher := http.NewResponseController(e.w)
	var event []byte
	unfinished := time.AfterFunc(eventWithin, func() { s.cancel(errEventUnfinished) })
	unfinished.Stop()
	defer unfinished.Stop()
	for {
		line, err := reader.ReadSlice('\n')
		if len(event) == 0 {
			unfinished.Reset(eventWithin)
		}
		event = append(event, line...)
		if len(event) > maxEvent {
			return errEventTooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return endOf(event, err)
		}
		if len(bytes.TrimRight(line, "\r\n")) > 0 {
			continue
		}
		unfinished.Stop()
		g.noteBytes(s)
		g.noteFirst(e)
		if err := g.writeEvent(e, event); err != nil {
			return err
		}
		event = event[:0]
		if !wholeEventBuffered(reader) {
			_ = flusher.Flush()
		}
	}
}

// wholeEventBuffered reports whether another event can be forwarded at once, so
// that both go in one write.
func wholeEventBuffered(reader *bufio.Reader) bool {
	buffered, _ := reader.Peek(reader.Buffered())
	return bytes.Contains(buffered, []byte("\n\n"))
}

// endOf judges the end of an endpoint's stream.
func endOf(rest []byte, err error) error {
	if !errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return err
	}
	if len(rest) > 0 {
		return errors.Wrap(io.ErrUnexpectedEOF, "the stream ended within an event")
	}
	return nil
}

// writeEvent forwards one event and remembers its id.
func (g *Gatekeeper) writeEvent(e *exchange, event []byte) error {
	now := timekeeper.Now()
	if !e.writing {
		e.firstAt = now
		g.begin(e)
	} else {
		e.gap = max(e.gap, now-e.eventAt)
	}
	e.eventAt = now
	if _, err := e.w.Write(event); err != nil {
		return err
	}
	for _, line := range bytes.Split(event, []byte("\n")) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.lastEvent = string(bytes.TrimSpace(id))
		}
	}
	return nil
}
