package forwarder

import (
	"net/http/httptest"
	"testing"

	"papayaseam/internal/dispatcher"
	"papayaseam/internal/messenger"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

func chunkOf(content string) string {
	return `data: {"id":"x","choices":[{"index":0,"delta":{"content":"` + content + `"},"finish_reason":null}]}` + "\n\n"
}

const opening = `data: {"id":"x","choices":[{"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null}]}` + "\n\n"

// feed delivers the pieces of one attempt.
func feed(a *answer, pieces ...string) {
	a.restart()
	offset := 0
	for i, piece := range pieces {
		frame := messenger.Frame{Offset: offset, Data: []byte(piece)}
		if i == 0 {
			frame.Status, frame.ContentType = 200, "text/event-stream"
		}
		a.deliver(frame)
		offset += len(piece)
	}
}

// TestResumedStreamIsOneWholeAnswer ends the first attempt in the middle of an
// event; the caller sees one identity, one opening, every word once.
func TestResumedStreamIsOneWholeAnswer(t *testing.T) {
	w := httptest.NewRecorder()
	a := newAnswer(w, &call{id: "r1", body: []byte(`{"model":"m","max_tokens":5,"messages":[{"role":"user","content":"clue"}]}`)})
	feed(a, opening, chunkOf("here"), chunkOf(" be")[:20])
	a.resume()
	golden.Assert(t, string(a.body())+"\n", "resumed-body.json")
	feed(a, opening, chunkOf(" be"), chunkOf(" islands"), "data: [DONE]\n\n")
	a.complete(dispatcher.FinishEffect{Verdict: dispatcher.Answered})
	golden.Assert(t, w.Body.String(), "resumed-stream.txt")
}

func TestAnswerThatIsNotAStreamIsHeldUntilItIsWhole(t *testing.T) {
	w := httptest.NewRecorder()
	a := newAnswer(w, &call{id: "r1"})
	a.restart()
	a.deliver(messenger.Frame{Status: 201, ContentType: "application/json", Data: []byte(`{"placed":`)})
	assert.Equal(t, w.Body.Len(), 0)
	a.restart()
	a.deliver(messenger.Frame{Status: 201, ContentType: "application/json", Data: []byte(`{"placed":1}`)})
	a.complete(dispatcher.FinishEffect{Verdict: dispatcher.Answered})
	assert.Equal(t, w.Body.String(), `{"placed":1}`)
	assert.Equal(t, w.Code, 201)
}

func TestBrokenStreamEndsWithoutItsMark(t *testing.T) {
	w := httptest.NewRecorder()
	a := newAnswer(w, &call{id: "r1"})
	feed(a, opening, chunkOf("here"))
	a.fail(problem{502, "group-incomplete", "may-have-run", "the group can no longer serve"})
	golden.Assert(t, w.Body.String(), "broken-stream.txt")
}

func TestDigestTellsAChangedAnswer(t *testing.T) {
	a := newAnswer(httptest.NewRecorder(), &call{})
	feed(a, "abc")
	good := messenger.Frame{Length: 3, Digest: digestOf(a.hash)}
	assert.Assert(t, a.whole(good))
	assert.Assert(t, !a.whole(messenger.Frame{Length: 3, Digest: "0000000000000000"}))
	assert.Assert(t, !a.whole(messenger.Frame{Length: 4, Digest: good.Digest}))
}
