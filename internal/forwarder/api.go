package forwarder

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"papayaseam/internal/messenger"
	"papayaseam/internal/registrar"
	"papayaseam/internal/transporter"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
)

// call is one caller's request, checked and ready to be dispatched.
type call struct {
	id           string
	organisation string
	key          string
	fingerprint  string
	priority     int
	deadline     time.Duration
	model        string
	adapter      string
	service      string
	prefix       string
	method       string
	path         string
	contentType  string
	accept       string
	body         []byte
	stream       bool
	repeatable   bool
	began        time.Duration
}

// problem is an error for the caller.
type problem struct {
	status  int
	kind    string
	verdict string
	message string
}

// RegisterAPI adds the callers' paths.
func (f *Forwarder) RegisterAPI(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/models", f.models)
	mux.HandleFunc("POST /v1/chat/completions", f.chat)
	mux.HandleFunc("/services/{service}/{path...}", f.service)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeProblem(w, newRequestID(r), problem{http.StatusNotFound, "unknown-path", "not-run", "no such path; use /v1/chat/completions, /v1/models or /services/NAME/"})
	})
}

func (f *Forwarder) models(w http.ResponseWriter, r *http.Request) {
	if _, p := f.admitCaller(r); p != nil {
		writeProblem(w, newRequestID(r), *p)
		return
	}
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int    `json:"created"`
		OwnedBy string `json:"owned_by"`
	}
	list := []model{}
	for _, object := range f.syncer.Objects(registrar.KindModel) {
		list = append(list, model{object.Name, "model", 0, "papayaseam"})
		for _, adapter := range object.Model.Adapters {
			list = append(list, model{object.Name + ":" + adapter, "model", 0, "papayaseam"})
		}
	}
	transporter.Write(w, http.StatusOK, map[string]any{"object": "list", "data": list})
}

// admitCaller finds the caller's organisation, and refuses while draining.
func (f *Forwarder) admitCaller(r *http.Request) (string, *problem) {
	f.mu.Lock()
	draining := f.draining
	f.mu.Unlock()
	if draining {
		return "", &problem{http.StatusServiceUnavailable, "draining", "not-run", "this entry is stopping; send the request again"}
	}
	if f.cutOff() {
		return "", &problem{http.StatusServiceUnavailable, "cut-off", "not-run", "this entry has lost contact to control for too long; send the request to another one"}
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return "", &problem{http.StatusUnauthorized, "no-key", "not-run", "send the organisation's key as 'Authorization: Bearer KEY'"}
	}
	organisation, ok := f.organisation(key)
	if !ok {
		return "", &problem{http.StatusUnauthorized, "unknown-key", "not-run", "the key belongs to no organisation; check it, or ask an operator to declare it"}
	}
	return organisation, nil
}

// cutOff reports whether control was not heard for longer than the setting
// allows.
func (f *Forwarder) cutOff() bool {
	age, heard := f.syncer.Age()
	return !heard || (f.cfg.CutOffLimit > 0 && age > f.cfg.CutOffLimit)
}

// newCall reads what all requests have in common.
func (f *Forwarder) newCall(w http.ResponseWriter, r *http.Request) (*call, *problem) {
	c := &call{id: newRequestID(r), began: f.now(), method: r.Method, contentType: r.Header.Get("Content-Type"), accept: r.Header.Get("Accept")}
	organisation, p := f.admitCaller(r)
	if p != nil {
		return c, p
	}
	c.organisation = organisation
	c.key = r.Header.Get("Idempotency-Key")
	if p := c.readHeaders(r); p != nil {
		return c, p
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		var tooLong *http.MaxBytesError
		if errors.As(err, &tooLong) {
			return c, &problem{http.StatusRequestEntityTooLarge, "body-too-long", "not-run", "the body is longer than 8 MiB; send a shorter one"}
		}
		return c, &problem{http.StatusBadRequest, "body-broken", "not-run", "the body could not be read whole; send it again"}
	}
	c.body = body
	return c, nil
}

func (c *call) readHeaders(r *http.Request) *problem {
	if len(c.key) > 255 {
		return &problem{http.StatusBadRequest, "key-too-long", "not-run", "an Idempotency-Key has at most 255 characters"}
	}
	if text := r.Header.Get("X-Priority"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 || n > 9 {
			return &problem{http.StatusBadRequest, "bad-priority", "not-run", "X-Priority must be a whole number from 0 to 9"}
		}
		c.priority = n
	}
	if text := r.Header.Get("X-Deadline-Ms"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			return &problem{http.StatusBadRequest, "bad-deadline", "not-run", "X-Deadline-Ms must be a whole number of milliseconds from 1 on"}
		}
		c.deadline = c.began + time.Duration(n)*time.Millisecond
	}
	return nil
}

// fingerprintOf identifies a request by its organisation and content.
func fingerprintOf(parts ...string) string {
	sum := sha256.Sum256([]byte(strings.Join(parts, "\x00")))
	return hex.EncodeToString(sum[:12])
}

func (f *Forwarder) chat(w http.ResponseWriter, r *http.Request) {
	c, p := f.newCall(w, r)
	if p == nil {
		p = f.readChat(c)
	}
	if p != nil {
		f.count(c, "refused")
		writeProblem(w, c.id, *p)
		return
	}
	f.dispatch(w, r, c)
}

// readChat reads what routing needs from the body of a chat completion.
func (f *Forwarder) readChat(c *call) *problem {
	var body struct {
		Model    string          `json:"model"`
		Stream   bool            `json:"stream"`
		Messages json.RawMessage `json:"messages"`
	}
	if err := json.Unmarshal(c.body, &body); err != nil {
		return &problem{http.StatusBadRequest, "body-not-json", "not-run", "the body is not valid JSON of a chat completion: " + err.Error()}
	}
	c.model, c.adapter, _ = strings.Cut(body.Model, ":")
	object, ok := f.syncer.Object(registrar.KindModel, c.model)
	if !ok || (c.adapter != "" && !slices.Contains(object.Model.Adapters, c.adapter)) {
		return &problem{http.StatusNotFound, "unknown-model", "not-run", "no such model or adapter; GET /v1/models lists them"}
	}
	c.stream = body.Stream
	c.repeatable = true
	c.path = "/v1/chat/completions"
	c.contentType = "application/json"
	c.fingerprint = fingerprintOf(c.organisation, c.model, c.adapter, string(body.Messages))
	c.prefix = fingerprintOf(c.model, string(body.Messages[:min(len(body.Messages), prefixBytes)]))
	return nil
}

func (f *Forwarder) service(w http.ResponseWriter, r *http.Request) {
	c, p := f.newCall(w, r)
	if p == nil {
		p = f.readService(c, r)
	}
	if p != nil {
		f.count(c, "refused")
		writeProblem(w, c.id, *p)
		return
	}
	f.dispatch(w, r, c)
}

func (f *Forwarder) readService(c *call, r *http.Request) *problem {
	c.service = r.PathValue("service")
	object, ok := f.syncer.Object(registrar.KindService, c.service)
	if !ok {
		return &problem{http.StatusNotFound, "unknown-service", "not-run", "no such service; ask an operator which are declared"}
	}
	c.path = "/" + r.PathValue("path")
	if r.URL.RawQuery != "" {
		c.path += "?" + r.URL.RawQuery
	}
	safe := r.Method == http.MethodGet || r.Method == http.MethodHead || r.Method == http.MethodOptions
	c.repeatable = object.Service.Repeatable || safe
	c.fingerprint = fingerprintOf(c.organisation, c.service, c.method, c.path, string(c.body))
	return nil
}

// writeProblem answers in the error shape of the API. Client libraries must
// not repeat by themselves what may have run.
func writeProblem(w http.ResponseWriter, id string, p problem) {
	w.Header().Set("X-Request-Id", id)
	if p.verdict != "not-run" {
		w.Header().Set("X-Should-Retry", "false")
	}
	transporter.Write(w, p.status, errorResponse(id, p))
}

func errorResponse(id string, p problem) messenger.ErrorResponse {
	kind := "server_error"
	if p.status < http.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	return messenger.ErrorResponse{Error: messenger.ErrorBody{Message: p.message, Type: kind, Code: p.kind, Verdict: p.verdict, RequestId: id}}
}

// count notes a request's outcome for the burn report.
func (f *Forwarder) count(c *call, outcome string) {
	target := c.model
	if c.service != "" {
		target = c.service
	}
	labels := `{organisation="` + c.organisation + `",target="` + target + `",outcome="` + outcome + `"}`
	metrics.GetOrCreateCounter("papayaseam_requests_total" + labels).Inc()
}
