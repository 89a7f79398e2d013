package supervisor

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"papayaseam/internal/messenger"

	"gotest.tools/v3/assert"
)

// processMemory is what the target allows a process in all.
const processMemory = 128 << 20

// TestEndlessAnswersTogetherHoldLittle guards against an engine that answers many attempts
// without an end, until its side process has no memory left for those of other clients.
func TestEndlessAnswersTogetherHoldLittle(t *testing.T) {
	s := newServing(t, func(http.ResponseWriter, *http.Request) {})
	var attempts []*attempt
	for i := range 32 {
		attempts = append(attempts, newAttempt(s.newRequest(fmt.Sprint("a", i)), s.responses))
	}
	chunk := make([]byte, readBufferBytes)
	held := 0
	for appended := true; appended; {
		appended = false
		for _, a := range attempts {
			if a.appendData(chunk) {
				held += len(chunk)
				appended = true
			}
		}
	}
	assert.Assert(t, held <= processMemory, "%d bytes held", held)
	for _, a := range attempts {
		a.finish(messenger.Frame{Verdict: "may-have-run"})
	}
	next := newAttempt(s.newRequest("b"), s.responses)
	for range maxResponseBytes / len(chunk) {
		assert.Assert(t, next.appendData(chunk), "attempts that have ended hold memory")
	}
	assert.Assert(t, !next.appendData(chunk), "an attempt holds more than it may")
}

// TestEndlessAnswerEndsOnlyItsAttempt guards against an attempt without an end that goes on
// or takes others with it.
func TestEndlessAnswerEndsOnlyItsAttempt(t *testing.T) {
	s := newServing(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Attempt-Id") == "sound" {
			_, _ = io.WriteString(w, "printed")
			return
		}
		for r.Context().Err() == nil {
			if _, err := io.WriteString(w, strings.Repeat("x", 32<<10)); err != nil {
				return
			}
		}
	})
	endless := s.submit(s.newRequest("endless"))
	frame := finalFrame(endless)
	assert.Equal(t, frame.Verdict, "may-have-run")
	assert.Equal(t, frame.Kind, "answer-too-long")
	assert.Equal(t, finalFrame(s.submit(s.newRequest("sound"))).Verdict, "answered")
}
