package faker

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"papayaseam/internal/messenger"
	"papayaseam/internal/transporter"
)

const (
	defaultTokens = 16
	// maxCallBytes bounds the body of a call of a plain service.
	maxCallBytes = 16 << 20
)

// Register adds the endpoint's paths.
func (e *Endpoint) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/orders", e.guard(e.orders))
	mux.HandleFunc("GET /v1/announcement", e.guard(func(w http.ResponseWriter, _ *http.Request) {
		announcement, _ := e.announcement()
		transporter.Write(w, http.StatusOK, announcement)
	}))
	mux.HandleFunc("GET /v1/runs", func(w http.ResponseWriter, _ *http.Request) {
		transporter.Write(w, http.StatusOK, e.Runs())
	})
	if e.cfg.Service == "" {
		mux.HandleFunc("POST /v1/chat/completions", e.guard(e.chat))
		return
	}
	mux.HandleFunc("/", e.guard(e.place))
}

// guard breaks the connection while the endpoint is down.
func (e *Endpoint) guard(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		down := e.down
		e.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		next(w, r)
	}
}

func (e *Endpoint) orders(w http.ResponseWriter, r *http.Request) {
	var order messenger.Order
	if !transporter.Read(w, r, &order) {
		return
	}
	answer := e.obey(order)
	e.log.Debug("order taken", "action", order.Action, "fencing-number", order.FencingNumber, "accepted", answer.Accepted)
	transporter.Write(w, http.StatusOK, answer)
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
	Continue  bool          `json:"continue_final_message"`
}

// begin counts a run and returns the channel that closes at a crash.
func (e *Endpoint) begin(r *http.Request) <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[r.Header.Get("X-Request-Id")]++
	if e.refusing {
		e.log.Error("work after leaving", "request", r.Header.Get("X-Request-Id"))
	}
	e.running++
	return e.crashed
}

func (e *Endpoint) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

func (e *Endpoint) chat(w http.ResponseWriter, r *http.Request) {
	var request chatRequest
	if !transporter.Read(w, r, &request) {
		return
	}
	crashed := e.begin(r)
	defer e.end()
	prompt, said := request.prompt()
	if strings.Contains(prompt, CrashWord) {
		e.Crash()
	}
	tokens := request.MaxTokens
	if tokens == 0 {
		tokens = defaultTokens
	}
	words := Words(prompt, tokens+said)[said:]
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	g := generation{w: w, r: r, crashed: crashed, cfg: e.cfg, words: words, model: request.Model, continued: said > 0}
	if request.Stream {
		g.stream()
		return
	}
	g.whole()
}

// prompt returns the last prompt, and how many words of the answer to it were
// said already.
func (r chatRequest) prompt() (string, int) {
	if len(r.Messages) == 0 {
		return "", 0
	}
	last := r.Messages[len(r.Messages)-1]
	if r.Continue && last.Role == "assistant" && len(r.Messages) > 1 {
		return r.Messages[len(r.Messages)-2].Content, len(strings.Fields(last.Content))
	}
	return last.Content, 0
}

type generation struct {
	w         http.ResponseWriter
	r         *http.Request
	crashed   <-chan struct{}
	cfg       Config
	words     []string
	model     string
	continued bool
}

// wait waits, and breaks the connection at a crash.
func (g generation) wait(d time.Duration) bool {
	select {
	case <-g.crashed:
		panic(http.ErrAbortHandler)
	case <-g.r.Context().Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (g generation) stream() {
	g.w.Header().Set("Content-Type", "text/event-stream")
	if !g.wait(g.cfg.FirstToken) {
		return
	}
	g.event(`{"role":"assistant","content":""}`, "null")
	for i, word := range g.words {
		if i > 0 && !g.wait(g.cfg.Step) {
			return
		}
		content, _ := json.Marshal(spaced(word, i == 0 && !g.continued))
		g.event(fmt.Sprintf(`{"content":%s}`, content), "null")
	}
	g.event(`{}`, `"stop"`)
	_, _ = io.WriteString(g.w, "data: [DONE]\n\n")
}

func spaced(word string, first bool) string {
	if first {
		return word
	}
	return " " + word
}

func (g generation) event(delta, finish string) {
	_, _ = fmt.Fprintf(g.w, `data: {"id":"chatcmpl-fake","object":"chat.completion.chunk","created":0,"model":%q,"choices":[{"index":0,"delta":%s,"finish_reason":%s}]}`+"\n\n", g.model, delta, finish)
	_ = http.NewResponseController(g.w).Flush()
}

func (g generation) whole() {
	if !g.wait(g.cfg.FirstToken + time.Duration(len(g.words))*g.cfg.Step) {
		return
	}
	content, _ := json.Marshal(strings.Join(g.words, " "))
	g.w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(g.w, `{"id":"chatcmpl-fake","object":"chat.completion","created":0,"model":%q,"choices":[{"index":0,"message":{"role":"assistant","content":%s},"finish_reason":"stop"}],"usage":{"prompt_tokens":1,"completion_tokens":%d,"total_tokens":%d}}`, g.model, content, len(g.words), len(g.words)+1)
}

// place runs a call of the plain service.
func (e *Endpoint) place(w http.ResponseWriter, r *http.Request) {
	crashed := e.begin(r)
	defer e.end()
	read, err := transporter.ReadBody(w, r, maxCallBytes, 0)
	if err != nil {
		transporter.WriteBodyError(w, err)
		return
	}
	body, err := read.Bytes()
	if err != nil {
		transporter.WriteBodyError(w, err)
		return
	}
	e.log.Info("call started", "request", r.Header.Get("X-Request-Id"), "attempt", r.Header.Get("X-Attempt-Id"), "body", string(body))
	if strings.Contains(string(body), CrashWord) {
		e.Crash()
	}
	g := generation{w: w, r: r, crashed: crashed}
	if !g.wait(e.cfg.FirstToken) {
		return
	}
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	transporter.Write(w, http.StatusCreated, map[string]string{
		"service": e.cfg.Service, "method": r.Method, "path": r.URL.RequestURI(), "placed": string(body),
	})
}
