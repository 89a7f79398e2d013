package forwarder

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"papayaseam/internal/dispatcher"
	"papayaseam/internal/messenger"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
)

const streamType = "text/event-stream"

// answer passes an answer to the caller: streams as they come, event by event,
// and all others only once they are whole and checked.
type answer struct {
	w    http.ResponseWriter
	call *call

	status      int
	contentType string
	data        []byte // data holds what is not yet passed on.
	hash        *xxhash.Digest
	length      int
	streaming   bool
	begun       bool
	resumed     bool
	done        bool // done is set at the end mark of a stream.
	text        strings.Builder
	tokens      int
	first       time.Duration
	clock       func() time.Duration
	last        time.Duration
	slowest     time.Duration
}

func newAnswer(w http.ResponseWriter, c *call) *answer {
	began := time.Now().Add(-c.began)
	return &answer{w: w, call: c, hash: xxhash.New(), clock: func() time.Duration { return time.Since(began) }}
}

// restart prepares for the answer of a new attempt.
func (a *answer) restart() {
	a.status = 0
	a.data = nil
	a.hash = xxhash.New()
	a.length = 0
}

// resume notes that the next attempt goes on behind what was passed on.
func (a *answer) resume() { a.resumed = a.begun }

// body returns the request's body; for a resumed stream it asks the engine to
// continue the text delivered so far.
func (a *answer) body() []byte {
	if !a.resumed || a.text.Len() == 0 {
		return a.call.body
	}
	var body map[string]json.RawMessage
	if json.Unmarshal(a.call.body, &body) != nil {
		return a.call.body
	}
	var messages []json.RawMessage
	_ = json.Unmarshal(body["messages"], &messages)
	said, _ := json.Marshal(map[string]string{"role": "assistant", "content": a.text.String()})
	body["messages"], _ = json.Marshal(append(messages, said))
	body["continue_final_message"] = json.RawMessage("true")
	body["add_generation_prompt"] = json.RawMessage("false")
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		var limit int
		if json.Unmarshal(body[name], &limit) == nil && limit > 0 {
			body[name], _ = json.Marshal(max(1, limit-a.tokens))
		}
	}
	data, err := json.Marshal(body)
	if err != nil {
		return a.call.body
	}
	return data
}

// deliver takes a frame that was checked for attempt and offset.
func (a *answer) deliver(frame messenger.Frame) {
	if frame.Status > 0 {
		a.status = frame.Status
		a.contentType = frame.ContentType
		a.streaming = strings.HasPrefix(frame.ContentType, streamType)
	}
	if a.first == 0 && len(frame.Data) > 0 {
		a.first = a.clock()
	}
	_, _ = a.hash.Write(frame.Data)
	a.length += len(frame.Data)
	if len(a.data)+len(frame.Data) > maxAnswerBytes {
		return
	}
	a.data = append(a.data, frame.Data...)
	if a.streaming {
		a.passEvents()
	}
}

// passEvents passes on the whole events received so far.
func (a *answer) passEvents() {
	for {
		event, rest, found := bytes.Cut(a.data, []byte("\n\n"))
		if !found {
			return
		}
		a.data = rest
		a.passEvent(event)
	}
}

func (a *answer) passEvent(event []byte) {
	data, isData := bytes.CutPrefix(event, []byte("data: "))
	switch {
	case isData && bytes.Equal(data, []byte("[DONE]")):
		a.done = true
		return
	case isData:
		data = a.rewrite(data)
		if data == nil {
			return
		}
		event = append([]byte("data: "), data...)
	}
	a.start()
	_, _ = a.w.Write(append(event, '\n', '\n'))
	_ = http.NewResponseController(a.w).Flush()
}

// chunk is the part of a streamed completion that resumption needs.
type chunk struct {
	Choices []struct {
		Delta struct {
			Role    string `json:"role"`
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// rewrite gives all chunks of a stream one identity, whichever attempts they
// come from, and drops a resumed attempt's opening.
func (a *answer) rewrite(data []byte) []byte {
	var c chunk
	var fields map[string]json.RawMessage
	if json.Unmarshal(data, &c) != nil || json.Unmarshal(data, &fields) != nil {
		return data
	}
	for _, choice := range c.Choices {
		opening := choice.Delta.Content == "" && choice.Delta.Role != "" && choice.FinishReason == nil
		if a.resumed && opening {
			return nil
		}
		if choice.Delta.Content != "" {
			a.text.WriteString(choice.Delta.Content)
			a.noteToken()
		}
	}
	fields["id"], _ = json.Marshal("chatcmpl-" + a.call.id)
	rewritten, err := json.Marshal(fields)
	if err != nil {
		return data
	}
	return rewritten
}

// noteToken keeps the longest pause between tokens.
func (a *answer) noteToken() {
	now := a.clock()
	if a.tokens > 0 {
		a.slowest = max(a.slowest, now-a.last)
	}
	a.last = now
	a.tokens++
}

func (a *answer) start() {
	if a.begun {
		return
	}
	a.begun = true
	a.w.Header().Set("Content-Type", a.contentType)
	a.w.Header().Set("X-Request-Id", a.call.id)
	a.w.WriteHeader(a.status)
}

// complete ends a whole answer.
func (a *answer) complete(finish dispatcher.FinishEffect) dispatcher.FinishEffect {
	if a.streaming {
		a.start()
		if a.done {
			_, _ = fmt.Fprint(a.w, "data: [DONE]\n\n")
		}
		return finish
	}
	if a.length > maxAnswerBytes {
		return dispatcher.FinishEffect{Verdict: dispatcher.MayHaveRun, Kind: "answer-too-long", Message: "the answer is longer than 16 MiB"}
	}
	a.w.Header().Set("Content-Length", fmt.Sprint(len(a.data)))
	a.start()
	_, _ = a.w.Write(a.data)
	return finish
}

// fail ends the request with an error; within a stream it is sent as an event,
// and the end mark is left out.
func (a *answer) fail(p problem) {
	if !a.begun {
		writeProblem(a.w, a.call.id, p)
		return
	}
	data, err := json.Marshal(errorResponse(a.call.id, p))
	if err == nil {
		_, _ = fmt.Fprintf(a.w, "data: %s\n\n", data)
	}
}

// whole reports whether a final frame matches what was received.
func (a *answer) whole(frame messenger.Frame) bool {
	return frame.Length == a.length && frame.Digest == digestOf(a.hash)
}

// measure notes the request's times in the metrics.
func (x *run) measure() {
	if x.answer.first == 0 {
		return
	}
	metrics.GetOrCreateHistogram("papayaseam_first_byte_seconds").Update((x.answer.first - x.call.began).Seconds())
	if x.answer.slowest > 0 {
		metrics.GetOrCreateHistogram("papayaseam_slowest_token_seconds").Update(x.answer.slowest.Seconds())
	}
}
