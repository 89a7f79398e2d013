package forwarder

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"papayaseam/internal/messenger"
	"papayaseam/internal/quarantiner"
	"papayaseam/internal/registrar"
	"papayaseam/internal/transporter"

	"github.com/VictoriaMetrics/metrics"
)

// parseCopies is how often a body is copied as it is parsed: its messages, and their beginning.
const parseCopies = 2

// clientRequest is a validated client request, ready to be dispatched.
type clientRequest struct {
	id             string
	organisation   string
	idempotencyKey string
	fingerprint    string
	priority       int
	deadline       time.Duration // deadline is counted from the start of the process; 0 means none.
	model          string
	adapter        string
	service        string
	prefixHash     string // prefixHash identifies the beginning of the prompt, for routing to a warm cache.
	method         string
	path           string
	contentType    string
	accept         string
	body           []byte
	held           *transporter.Body // held is what body holds; nil for nothing.
	stream         bool
	repeatable     bool          // repeatable is set if the request may run more than once.
	startedAt      time.Duration // startedAt is counted from the start of the process.
}

// apiError is an error response to a client.
type apiError struct {
	status  int
	code    string
	verdict string
	message string
}

// drainingError refuses a request because the entry stops.
var drainingError = apiError{http.StatusServiceUnavailable, "draining", "not-run", "this entry is stopping; send the request again"}

// RegisterAPI registers the handlers of the client API.
func (f *Forwarder) RegisterAPI(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/models", f.handleModels)
	mux.HandleFunc("POST /v1/chat/completions", f.handleChatCompletion)
	mux.HandleFunc("/services/{service}/{path...}", f.handleService)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeAPIError(w, newRequestID(r), apiError{http.StatusNotFound, "unknown-path", "not-run", "no such path; use /v1/chat/completions, /v1/models or /services/NAME/"})
	})
}

// handleModels lists the models and their adapters in the OpenAI format.
func (f *Forwarder) handleModels(w http.ResponseWriter, r *http.Request) {
	f.announceStop(w)
	if _, apiErr := f.admitClient(r); apiErr != nil {
		writeAPIError(w, newRequestID(r), *apiErr)
		return
	}
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int    `json:"created"`
		OwnedBy string `json:"owned_by"`
	}
	models := []model{}
	for _, object := range f.syncer.Objects(registrar.KindModel) {
		models = append(models, model{object.Name, "model", 0, "papayaseam"})
		for _, adapter := range object.Model.Adapters {
			models = append(models, model{object.Name + ":" + adapter, "model", 0, "papayaseam"})
		}
	}
	transporter.Write(w, http.StatusOK, map[string]any{"object": "list", "data": models})
}

// admitClient returns the organisation that the request's API key belongs to. It
// refuses requests while the process drains or has lost contact to control.
func (f *Forwarder) admitClient(r *http.Request) (string, *apiError) {
	f.mu.Lock()
	draining := f.draining
	f.mu.Unlock()
	if draining {
		refusal := drainingError
		return "", &refusal
	}
	if f.controlLost() {
		return "", &apiError{http.StatusServiceUnavailable, "cut-off", "not-run", "this entry has lost contact to control for too long; send the request to another one"}
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return "", &apiError{http.StatusUnauthorized, "no-key", "not-run", "send the organisation's key as 'Authorization: Bearer KEY'"}
	}
	organisation, ok := f.organisationByKey(key)
	if !ok {
		return "", &apiError{http.StatusUnauthorized, "unknown-key", "not-run", "the key belongs to no organisation; check it, or ask an operator to declare it"}
	}
	return organisation, nil
}

// controlLost reports whether no control process ever answered, or none did for
// longer than CutOffLimit.
func (f *Forwarder) controlLost() bool {
	age, connected := f.syncer.Age()
	return !connected || (f.cfg.CutOffLimit > 0 && age > f.cfg.CutOffLimit)
}

// newRequest reads the parts that all requests share: API key, headers and body.
// The returned request is never nil, so that an error can name its id.
func (f *Forwarder) newRequest(w http.ResponseWriter, r *http.Request) (*clientRequest, *apiError) {
	request := &clientRequest{id: newRequestID(r), startedAt: f.now(), method: r.Method, contentType: r.Header.Get("Content-Type"), accept: r.Header.Get("Accept")}
	f.announceStop(w)
	organisation, apiErr := f.admitClient(r)
	if apiErr != nil {
		return request, apiErr
	}
	request.organisation = organisation
	request.idempotencyKey = r.Header.Get("Idempotency-Key")
	if apiErr := request.readHeaders(r); apiErr != nil {
		return request, apiErr
	}
	body, err := transporter.ReadBody(w, r, maxBodyBytes, max(0, request.deadline-request.startedAt))
	if err == nil {
		request.held = body
		request.body, err = body.Bytes()
	}
	if err != nil {
		return request, bodyError(w, err)
	}
	return request, nil
}

// bodyError returns the response to a request whose body could not be read.
func bodyError(w http.ResponseWriter, err error) *apiError {
	code, message := "body-broken", err.Error()
	switch status := transporter.BodyStatus(err); status {
	case http.StatusRequestEntityTooLarge:
		code, message = "body-too-long", "the body is longer than 8 MiB; send a shorter one"
	case http.StatusRequestTimeout:
		code = "body-late"
	case http.StatusServiceUnavailable:
		code = "body-refused"
		transporter.SetBodyRetry(w.Header())
	}
	return &apiError{transporter.BodyStatus(err), code, "not-run", message}
}

// readHeaders validates the idempotency key and reads the priority and deadline.
func (request *clientRequest) readHeaders(r *http.Request) *apiError {
	if len(request.idempotencyKey) > 255 {
		return &apiError{http.StatusBadRequest, "key-too-long", "not-run", "an Idempotency-Key has at most 255 characters"}
	}
	if value := r.Header.Get("X-Priority"); value != "" {
		n, err := strconv.Atoi(value)
		if err != nil || n < 0 || n > 9 {
			return &apiError{http.StatusBadRequest, "bad-priority", "not-run", "X-Priority must be a whole number from 0 to 9"}
		}
		request.priority = n
	}
	if value := r.Header.Get("X-Deadline-Ms"); value != "" {
		n, err := strconv.Atoi(value)
		if err != nil || n < 1 {
			return &apiError{http.StatusBadRequest, "bad-deadline", "not-run", "X-Deadline-Ms must be a whole number of milliseconds from 1 on"}
		}
		request.deadline = request.startedAt + time.Duration(n)*time.Millisecond
	}
	return nil
}

// handleChatCompletion serves POST /v1/chat/completions.
func (f *Forwarder) handleChatCompletion(w http.ResponseWriter, r *http.Request) {
	request, apiErr := f.newRequest(w, r)
	if apiErr == nil {
		apiErr = f.parseChatCompletion(r, request)
	}
	if apiErr != nil {
		f.countOutcome(request, "refused")
		writeAPIError(w, request.id, *apiErr)
		return
	}
	f.dispatch(w, r, request)
}

// parseChatCompletion reads the fields that routing needs from the body of a chat
// completion and checks that the model and adapter exist.
func (f *Forwarder) parseChatCompletion(r *http.Request, request *clientRequest) *apiError {
	var body struct {
		Model    string          `json:"model"`
		Stream   bool            `json:"stream"`
		Messages json.RawMessage `json:"messages"`
	}
	release, err := request.held.AwaitWork(r.Context(), parseCopies)
	if err != nil {
		return &apiError{http.StatusServiceUnavailable, "body-refused", "not-run", "the caller left"}
	}
	defer release()
	if err := json.Unmarshal(request.body, &body); err != nil {
		return &apiError{http.StatusBadRequest, "body-not-json", "not-run", "the body is not valid JSON of a chat completion: " + err.Error()}
	}
	request.model, request.adapter, _ = strings.Cut(body.Model, ":")
	object, ok := f.syncer.Object(registrar.KindModel, request.model)
	if !ok || (request.adapter != "" && !slices.Contains(object.Model.Adapters, request.adapter)) {
		return &apiError{http.StatusNotFound, "unknown-model", "not-run", "no such model or adapter; GET /v1/models lists them"}
	}
	request.stream = body.Stream
	request.repeatable = true
	request.path = "/v1/chat/completions"
	request.contentType = "application/json"
	request.fingerprint = quarantiner.BodyFingerprint([][]byte{body.Messages}, request.organisation, request.model, request.adapter)
	request.prefixHash = quarantiner.Fingerprint(request.model, string(body.Messages[:min(len(body.Messages), prefixHashBytes)]))
	return nil
}

// handleService serves the paths of plain services.
func (f *Forwarder) handleService(w http.ResponseWriter, r *http.Request) {
	request, apiErr := f.newRequest(w, r)
	if apiErr == nil {
		apiErr = f.parseServiceRequest(request, r)
	}
	if apiErr != nil {
		f.countOutcome(request, "refused")
		writeAPIError(w, request.id, *apiErr)
		return
	}
	f.dispatch(w, r, request)
}

// parseServiceRequest checks that the service exists and sets the path to request
// from it. Requests with a safe HTTP method may always be repeated.
func (f *Forwarder) parseServiceRequest(request *clientRequest, r *http.Request) *apiError {
	request.service = r.PathValue("service")
	object, ok := f.syncer.Object(registrar.KindService, request.service)
	if !ok {
		return &apiError{http.StatusNotFound, "unknown-service", "not-run", "no such service; ask an operator which are declared"}
	}
	request.path = "/" + r.PathValue("path")
	if r.URL.RawQuery != "" {
		request.path += "?" + r.URL.RawQuery
	}
	safeMethod := r.Method == http.MethodGet || r.Method == http.MethodHead || r.Method == http.MethodOptions
	request.repeatable = object.Service.Repeatable || safeMethod
	request.fingerprint = quarantiner.BodyFingerprint([][]byte{request.body}, request.organisation, request.service, request.method, request.path)
	return nil
}

// writeAPIError writes an error response. Unless the request is known not to have
// run, it tells client libraries not to retry on their own.
func writeAPIError(w http.ResponseWriter, id string, apiErr apiError) {
	w.Header().Set("X-Request-Id", id)
	if apiErr.verdict != "not-run" {
		w.Header().Set("X-Should-Retry", "false")
	}
	transporter.Write(w, apiErr.status, newErrorResponse(id, apiErr))
}

func newErrorResponse(id string, apiErr apiError) messenger.ErrorResponse {
	errorType := "server_error"
	if apiErr.status < http.StatusInternalServerError {
		errorType = "invalid_request_error"
	}
	return messenger.ErrorResponse{Error: messenger.ErrorBody{Message: apiErr.message, Type: errorType, Code: apiErr.code, Verdict: apiErr.verdict, RequestId: id}}
}

// countOutcome counts a request in the requests metric by its outcome.
func (f *Forwarder) countOutcome(request *clientRequest, outcome string) {
	target := request.model
	if request.service != "" {
		target = request.service
	}
	labels := `{organisation="` + request.organisation + `",target="` + target + `",outcome="` + outcome + `"}`
	metrics.GetOrCreateCounter("papayaseam_requests_total" + labels).Inc()
}
