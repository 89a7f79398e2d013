package forwarder

import (
	"bytes"
	"net/http/httptest"
	"strings"
	"testing"

	"papayaseam/internal/dispatcher"
	"papayaseam/internal/messenger"
	"papayaseam/internal/transporter"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// contentChunk returns the event of a chunk with the given content.
func contentChunk(content string) string {
	return `data: {"id":"x","choices":[{"index":0,"delta":{"content":"` + content + `"},"finish_reason":null}]}` + "\n\n"
}

// roleChunk is the event that opens every attempt: a chunk with only a role.
const roleChunk = `data: {"id":"x","choices":[{"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null}]}` + "\n\n"

// deliverAttempt starts an attempt and delivers each piece as a frame.
func deliverAttempt(relay *responseRelay, pieces ...string) {
	relay.startAttempt()
	offset := 0
	for i, piece := range pieces {
		frame := messenger.Frame{Offset: offset, Data: []byte(piece)}
		if i == 0 {
			frame.Status, frame.ContentType = 200, "text/event-stream"
		}
		relay.deliver(frame)
		offset += len(piece)
	}
}

// TestResumedStreamReadsAsOneResponse guards against a resumed stream that shows
// the client a second completion id or role chunk, or loses or repeats content.
// The first attempt breaks off in the middle of an event.
func TestResumedStreamReadsAsOneResponse(t *testing.T) {
	w := httptest.NewRecorder()
	relay := newResponseRelay(w, &clientRequest{id: "r1", body: []byte(`{"model":"m","max_tokens":5,"messages":[{"role":"user","content":"clue"}]}`)})
	deliverAttempt(relay, roleChunk, contentChunk("here"), contentChunk(" be")[:20])
	relay.prepareResume()
	golden.Assert(t, string(relay.requestBody())+"\n", "resumed-body.json")
	deliverAttempt(relay, roleChunk, contentChunk(" be"), contentChunk(" islands"), "data: [DONE]\n\n")
	relay.finish(dispatcher.FinishEffect{Verdict: dispatcher.Answered})
	golden.Assert(t, w.Body.String(), "resumed-stream.txt")
}

// TestNonStreamedResponseIsBufferedUntilComplete guards against a client that
// receives part of a response whose attempt failed before its end.
func TestNonStreamedResponseIsBufferedUntilComplete(t *testing.T) {
	w := httptest.NewRecorder()
	relay := newResponseRelay(w, &clientRequest{id: "r1"})
	relay.startAttempt()
	relay.deliver(messenger.Frame{Status: 201, ContentType: "application/json", Data: []byte(`{"placed":`)})
	assert.Equal(t, w.Body.Len(), 0)
	relay.startAttempt()
	relay.deliver(messenger.Frame{Status: 201, ContentType: "application/json", Data: []byte(`{"placed":1}`)})
	relay.finish(dispatcher.FinishEffect{Verdict: dispatcher.Answered})
	assert.Equal(t, w.Body.String(), `{"placed":1}`)
	assert.Equal(t, w.Code, 201)
}

// TestFailedStreamEndsWithErrorEvent guards against a stream that fails after it
// started, yet ends with [DONE], so that the client takes it for complete.
func TestFailedStreamEndsWithErrorEvent(t *testing.T) {
	w := httptest.NewRecorder()
	relay := newResponseRelay(w, &clientRequest{id: "r1"})
	deliverAttempt(relay, roleChunk, contentChunk("here"))
	relay.writeError(apiError{502, "group-incomplete", "may-have-run", "the group can no longer serve"})
	golden.Assert(t, w.Body.String(), "broken-stream.txt")
}

// TestErrorOfNextGroupIsNotWrittenIntoStream guards against an error response of the
// group at which a stream is resumed that appears amid the client's events, or that ends
// the stream as if it were complete.
func TestErrorOfNextGroupIsNotWrittenIntoStream(t *testing.T) {
	for _, frame := range []messenger.Frame{
		{Status: 500, ContentType: "text/plain", Data: []byte("out of memory")},
		{Status: 500, ContentType: "text/event-stream", Data: []byte("data: out of memory\n\ndata: [DONE]\n\n")},
		{Status: 200, ContentType: "application/json", Data: []byte(`{"error":"out of memory"}`)},
		{Status: 200},
	} {
		w := httptest.NewRecorder()
		relay := newResponseRelay(w, &clientRequest{id: "r1", body: []byte(`{"messages":[]}`)})
		deliverAttempt(relay, roleChunk, contentChunk("here"))
		begun := w.Body.String()
		relay.prepareResume()
		relay.startAttempt()
		relay.deliver(frame)
		result := relay.finish(dispatcher.FinishEffect{Verdict: dispatcher.Answered})
		assert.Equal(t, result.Verdict, dispatcher.MayHaveRun, frame.ContentType)
		assert.Equal(t, w.Body.String(), begun, "status %d, type %q", frame.Status, frame.ContentType)
	}
}

// TestFinalFrameMustMatchLengthAndDigest guards against accepting a response that
// was truncated or altered on its way from the group.
func TestFinalFrameMustMatchLengthAndDigest(t *testing.T) {
	relay := newResponseRelay(httptest.NewRecorder(), &clientRequest{})
	deliverAttempt(relay, "abc")
	finalFrame := messenger.Frame{Length: 3, Digest: hexDigest(relay.digest)}
	assert.Assert(t, relay.matches(finalFrame))
	assert.Assert(t, !relay.matches(messenger.Frame{Length: 3, Digest: "0000000000000000"}))
	assert.Assert(t, !relay.matches(messenger.Frame{Length: 4, Digest: finalFrame.Digest}))
}

// TestStreamWithCarriageReturnsIsForwarded guards against a 200 with an empty body for a
// stream whose lines end with CR LF.
func TestStreamWithCarriageReturnsIsForwarded(t *testing.T) {
	forwarded := func(pieces ...string) string {
		w := httptest.NewRecorder()
		relay := newResponseRelay(w, &clientRequest{id: "r1"})
		deliverAttempt(relay, pieces...)
		relay.finish(dispatcher.FinishEffect{Verdict: dispatcher.Answered})
		return w.Body.String()
	}
	const comment, done = ": waits", "data: [DONE]"
	word := strings.TrimSpace(contentChunk("here"))
	want := forwarded(comment+"\n\n", word+"\n\n", done+"\n\n")
	assert.Assert(t, strings.HasSuffix(want, done+"\n\n"))
	for _, end := range []string{"\r\n\r\n", "\n\r\n", "\r\n\n"} {
		assert.Equal(t, forwarded(comment+end+word+end[:1], end[1:2], end[2:]+done+end), want, "%q", end)
	}
}

// TestStreamThatEndsWithinEventIsBroken guards against a stream that the client takes for
// whole, although its endpoint closed the connection in the middle of an event.
func TestStreamThatEndsWithinEventIsBroken(t *testing.T) {
	whole := roleChunk + contentChunk("here") + "data: [DONE]\n\n"
	for cut := range len(whole) + 1 {
		relay := newResponseRelay(httptest.NewRecorder(), &clientRequest{id: "r1"})
		deliverAttempt(relay, whole[:cut])
		final := messenger.Frame{Final: true, Verdict: "answered", Length: cut, Digest: hexDigest(relay.digest)}
		x := &execution{relay: relay}
		verified := x.verifyFinalFrame(dispatcher.FrameMsg{Frame: final}).(dispatcher.FrameMsg).Frame
		want := "may-have-run"
		if cut == 0 || strings.HasSuffix(whole[:cut], "\n\n") {
			want = "answered"
		}
		assert.Equal(t, verified.Verdict, want, "ended after %q", whole[:cut])
	}
}

// Guards against responses of many requests that are buffered without a bound, and against a
// response that is cut and passed on as whole.
func TestResponsesThatAreBufferedHoldABoundedAmount(t *testing.T) {
	pool := transporter.NewPool(1 << 20)
	part := bytes.Repeat([]byte("x"), 1<<20)
	relays := []*responseRelay{}
	for i := range 2 {
		w := httptest.NewRecorder()
		relay := newResponseRelay(w, &clientRequest{id: "r1"})
		relay.pool = pool
		relay.deliver(messenger.Frame{Status: 200, ContentType: "text/plain", Data: part})
		result := relay.finish(dispatcher.FinishEffect{Verdict: dispatcher.Answered})
		assert.Equal(t, result.Verdict == dispatcher.Answered, i == 0)
		assert.Equal(t, w.Body.Len() == len(part), i == 0)
		relays = append(relays, relay)
	}
	for _, relay := range relays {
		relay.release()
		relay.release()
	}
	assert.Assert(t, pool.Reserve(1<<20), "all that was held is released")
}
