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
	"papayaseam/internal/transporter"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
)

const eventStreamType = "text/event-stream"

// responseRelay passes a group's response to the client: an event stream event
// by event as it arrives, any other response only once it is complete and
// verified. Its times are measured from the start of the process.
type responseRelay struct {
	w       http.ResponseWriter
	request *clientRequest
	pool    *transporter.Pool // pool holds buffered beyond freeResponseBytes; nil for no bound.
	pooled  int               // pooled is what is held in the pool.
	refused bool              // refused means that the pool did not hold the whole response.

	status          int
	contentType     string
	buffered        []byte // buffered holds received bytes that are not yet written to the client.
	digest          *xxhash.Digest
	receivedBytes   int
	streaming       bool
	headerWritten   bool
	writtenStatus   int // writtenStatus is the status that was written to the client.
	resumed         bool
	foreign         bool // foreign means that the attempt's response does not continue the stream that the client has in part.
	doneReceived    bool // doneReceived is set by the [DONE] event of a stream.
	finished        bool // finished means that a choice of the delivered text has its end.
	deliveredText   strings.Builder
	tokenCount      int
	firstByteAt     time.Duration
	now             func() time.Duration
	lastTokenAt     time.Duration
	longestTokenGap time.Duration
}

func newResponseRelay(w http.ResponseWriter, request *clientRequest) *responseRelay {
	processStart := time.Now().Add(-request.startedAt)
	return &responseRelay{w: w, request: request, digest: xxhash.New(), now: func() time.Duration { return time.Since(processStart) }}
}

// startAttempt discards what a previous attempt left unsent and prepares for the
// response of a new attempt.
func (r *responseRelay) startAttempt() {
	r.status = 0
	r.release()
	r.refused = false
	r.digest = xxhash.New()
	r.receivedBytes = 0
	r.foreign = false
	r.doneReceived = false
}

// kindNotContinued is the kind of the error of a stream that no further attempt continues.
const kindNotContinued = "stream-not-continued"

// prepareResume makes the next attempt continue after the delivered text, if any
// of the response was already written. It returns false if no attempt can: no request
// tells a plain service how much of its stream the client has, and an engine would write
// more after a text that has ended.
func (r *responseRelay) prepareResume() bool {
	r.resumed = r.headerWritten
	return !r.resumed || (r.request.service == "" && !r.finished && !r.doneReceived)
}

// requestBody returns the body to send to a group. For a resumed stream it asks
// the engine to continue the text delivered so far, and lowers the token limits
// by the tokens already delivered.
func (r *responseRelay) requestBody() []byte {
	if !r.resumed || r.deliveredText.Len() == 0 {
		return r.request.body
	}
	var body map[string]json.RawMessage
	if json.Unmarshal(r.request.body, &body) != nil {
		return r.request.body
	}
	var messages []json.RawMessage
	_ = json.Unmarshal(body["messages"], &messages)
	assistantMessage, _ := json.Marshal(map[string]string{"role": "assistant", "content": r.deliveredText.String()})
	body["messages"], _ = json.Marshal(append(messages, assistantMessage))
	body["continue_final_message"] = json.RawMessage("true")
	body["add_generation_prompt"] = json.RawMessage("false")
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		var limit int
		if json.Unmarshal(body[name], &limit) == nil && limit > 0 {
			body[name], _ = json.Marshal(max(1, limit-r.tokenCount))
		}
	}
	data, err := json.Marshal(body)
	if err != nil {
		return r.request.body
	}
	return data
}

// begin takes the status and type of an attempt's response. Once the client has part
// of a stream, only another stream of the same status continues it.
func (r *responseRelay) begin(frame messenger.Frame) {
	streaming := strings.HasPrefix(frame.ContentType, eventStreamType)
	if r.headerWritten {
		r.foreign = !streaming || frame.Status != r.writtenStatus
		return
	}
	r.status, r.contentType, r.streaming = frame.Status, frame.ContentType, streaming
}

// deliver adds a frame to the response. The dispatcher has already checked the
// frame's attempt and offset. Data beyond maxResponseBytes is counted but not
// buffered.
func (r *responseRelay) deliver(frame messenger.Frame) {
	if frame.Status > 0 {
		r.begin(frame)
	}
	if r.firstByteAt == 0 && len(frame.Data) > 0 {
		r.firstByteAt = r.now()
	}
	_, _ = r.digest.Write(frame.Data)
	r.receivedBytes += len(frame.Data)
	if r.foreign || len(r.buffered)+len(frame.Data) > maxResponseBytes || !r.hold(len(frame.Data)) {
		return
	}
	r.buffered = append(r.buffered, frame.Data...)
	if r.streaming {
		r.forwardEvents()
	}
}

// freeResponseBytes is what any response may hold outside of the pool.
const freeResponseBytes = 64 << 10

// hold takes bytes of the pool for a part of the response, or gives the response up.
func (r *responseRelay) hold(bytes int) bool {
	need := len(r.buffered) + bytes - freeResponseBytes - r.pooled
	if r.pool == nil || need <= 0 {
		return true
	}
	if r.refused || !r.pool.Reserve(need) {
		r.refused = true
		return false
	}
	r.pooled += need
	return true
}

// release forgets what is buffered.
func (r *responseRelay) release() {
	r.buffered = nil
	if r.pooled > 0 {
		r.pool.Release(r.pooled)
		r.pooled = 0
	}
}

// forwardEvents writes the complete buffered events to the client.
func (r *responseRelay) forwardEvents() {
	for {
		event, rest, complete := cutEvent(r.buffered)
		if !complete {
			return
		}
		r.buffered = rest
		if len(event) > 0 {
			r.forwardEvent(event)
		}
	}
}

// cutEvent returns what is before and after the first empty line. Lines end with LF or
// CR LF.
func cutEvent(data []byte) (event, rest []byte, complete bool) {
	for begin := 0; ; {
		length := bytes.IndexByte(data[begin:], '\n')
		if length < 0 {
			return nil, data, false
		}
		end := begin + length
		if len(bytes.TrimSuffix(data[begin:end], []byte("\r"))) == 0 {
			return bytes.TrimRight(data[:begin], "\r\n"), data[end+1:], true
		}
		begin = end + 1
	}
}

// forwardEvent writes one event to the client, with a rewritten chunk if it
// carries data. The [DONE] event is held back until the response is verified.
func (r *responseRelay) forwardEvent(event []byte) {
	data, isData := bytes.CutPrefix(event, []byte("data: "))
	switch {
	case isData && bytes.Equal(data, []byte("[DONE]")):
		r.doneReceived = true
		return
	case isData:
		data = r.rewriteChunk(data)
		if data == nil {
			return
		}
		event = append([]byte("data: "), data...)
	}
	r.writeHeader()
	_, _ = r.w.Write(append(event, '\n', '\n'))
	_ = http.NewResponseController(r.w).Flush()
}

// chunk holds the fields of a streamed chat completion chunk that resuming the
// stream needs.
type chunk struct {
	Choices []struct {
		Delta struct {
			Role    string `json:"role"`
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// rewriteChunk gives all chunks of a stream the same completion id, whichever
// attempt they come from. It returns nil for the chunk with only a role that
// opens a resumed attempt, as the client has already received one.
func (r *responseRelay) rewriteChunk(data []byte) []byte {
	var parsed chunk
	var fields map[string]json.RawMessage
	if json.Unmarshal(data, &parsed) != nil || json.Unmarshal(data, &fields) != nil {
		return data
	}
	for _, choice := range parsed.Choices {
		roleOnly := choice.Delta.Content == "" && choice.Delta.Role != "" && choice.FinishReason == nil
		if r.resumed && roleOnly {
			return nil
		}
		r.finished = r.finished || choice.FinishReason != nil
		if choice.Delta.Content != "" {
			r.deliveredText.WriteString(choice.Delta.Content)
			r.recordToken()
		}
	}
	fields["id"], _ = json.Marshal("chatcmpl-" + r.request.id)
	rewritten, err := json.Marshal(fields)
	if err != nil {
		return data
	}
	return rewritten
}

// recordToken counts a token and updates the longest gap between tokens.
func (r *responseRelay) recordToken() {
	now := r.now()
	if r.tokenCount > 0 {
		r.longestTokenGap = max(r.longestTokenGap, now-r.lastTokenAt)
	}
	r.lastTokenAt = now
	r.tokenCount++
}

// writeHeader writes the status and headers once.
func (r *responseRelay) writeHeader() {
	if r.headerWritten {
		return
	}
	r.headerWritten = true
	r.writtenStatus = r.status
	r.w.Header().Set("Content-Type", r.contentType)
	r.w.Header().Set("X-Request-Id", r.request.id)
	r.w.WriteHeader(r.status)
}

// finish writes the rest of a verified response. It returns the result to
// report, which differs from the given one if the response was too long or does not
// continue the stream.
func (r *responseRelay) finish(result dispatcher.FinishEffect) dispatcher.FinishEffect {
	if r.refused {
		return dispatcher.FinishEffect{Verdict: dispatcher.MayHaveRun, Kind: "answers-held", Message: "answers in progress hold all the memory set aside for them"}
	}
	if r.foreign {
		return dispatcher.FinishEffect{Verdict: dispatcher.MayHaveRun, Kind: kindNotContinued, Message: "the stream broke, and the next group answered with an error"}
	}
	if r.streaming {
		r.writeHeader()
		if r.doneReceived {
			_, _ = fmt.Fprint(r.w, "data: [DONE]\n\n")
		}
		return result
	}
	if r.receivedBytes > maxResponseBytes {
		return dispatcher.FinishEffect{Verdict: dispatcher.MayHaveRun, Kind: "answer-too-long", Message: "the answer is longer than 16 MiB"}
	}
	r.w.Header().Set("Content-Length", fmt.Sprint(len(r.buffered)))
	r.writeHeader()
	_, _ = r.w.Write(r.buffered)
	return result
}

// writeError ends the request with an error. In a stream that has started, the
// error is sent as an event and the [DONE] event is left out.
func (r *responseRelay) writeError(apiErr apiError) {
	if !r.headerWritten {
		writeAPIError(r.w, r.request.id, apiErr)
		return
	}
	data, err := json.Marshal(newErrorResponse(r.request.id, apiErr))
	if err == nil {
		_, _ = fmt.Fprintf(r.w, "data: %s\n\n", data)
	}
}

// damage returns what is wrong with the received response, given its final frame, or an
// empty string.
func (r *responseRelay) damage(final messenger.Frame) string {
	switch {
	case !r.matches(final):
		return "the answer does not match its length and digest"
	case r.streaming && len(bytes.Trim(r.buffered, "\r\n")) > 0:
		return "the stream ended within an event"
	}
	return ""
}

// matches reports whether the length and digest in a final frame match the
// received response.
func (r *responseRelay) matches(frame messenger.Frame) bool {
	return frame.Length == r.receivedBytes && frame.Digest == hexDigest(r.digest)
}

// recordLatencies records the time to the first byte and the longest gap between
// tokens as metrics. It does nothing if no response data was received.
func (x *execution) recordLatencies() {
	if x.relay.firstByteAt == 0 {
		return
	}
	metrics.GetOrCreateHistogram("papayaseam_first_byte_seconds").Update((x.relay.firstByteAt - x.request.startedAt).Seconds())
	if x.relay.longestTokenGap > 0 {
		metrics.GetOrCreateHistogram("papayaseam_slowest_token_seconds").Update(x.relay.longestTokenGap.Seconds())
	}
}
