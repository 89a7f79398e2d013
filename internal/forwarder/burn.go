package forwarder

import (
	"net/http"
	"time"

	"papayaseam/internal/dispatcher"
	"papayaseam/internal/recorder"
	"papayaseam/internal/registrar"
	"papayaseam/internal/transporter"
)

// RegisterInner registers the handlers for operators and other processes.
func (f *Forwarder) RegisterInner(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/burn", func(w http.ResponseWriter, _ *http.Request) {
		transporter.Write(w, http.StatusOK, f.objectives.History(f.now(), f.cfg.Name))
	})
}

// recordObjectives counts a finished request for each objective that covers it.
// A request is good if it was answered completely within the promised time: to
// the first token for a model, to the end of the response for a plain service.
// Client errors and requests that the client cancelled are not counted.
func (x *execution) recordObjectives(result dispatcher.FinishEffect) {
	if result.Kind == "caller-gone" || result.Kind == "key-reused" {
		return
	}
	latency := x.now() - x.request.startedAt
	target := x.request.service
	if x.request.model != "" {
		latency = x.relay.firstByteAt - x.request.startedAt
		target = x.request.model
	}
	for _, object := range x.syncer.Objects(registrar.KindObjective) {
		objective := object.Objective
		covered := objective.Measure == recorder.MeasureRequests && objective.Target == target && (objective.Organisation == "" || objective.Organisation == x.request.organisation)
		if !covered {
			continue
		}
		late := objective.PromisedMs > 0 && latency > time.Duration(objective.PromisedMs)*time.Millisecond
		failures := 0.0
		if result.Verdict != dispatcher.Answered || late {
			failures = 1
		}
		x.objectives.Add(x.now(), recorder.Series{
			Measure: objective.Measure, Target: target, Organisation: objective.Organisation, Percent: objective.Percent, PromisedMs: objective.PromisedMs,
		}, 1, failures)
	}
}
