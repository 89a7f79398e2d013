package forwarder

import (
	"net/http"
	"time"

	"papayaseam/internal/dispatcher"
	"papayaseam/internal/recorder"
	"papayaseam/internal/registrar"
	"papayaseam/internal/transporter"
)

// RegisterInner adds the paths for operators.
func (f *Forwarder) RegisterInner(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/burn", func(w http.ResponseWriter, _ *http.Request) {
		transporter.Write(w, http.StatusOK, f.burn.History(f.now(), f.cfg.Name))
	})
}

// judge counts an ended request for each objective that covers it. Good is
// answered whole within the promised time: to the first token for a model, to
// the end for a plain service. What the caller did wrong or broke off is not
// counted.
func (x *run) judge(finish dispatcher.FinishEffect) {
	if finish.Kind == "caller-gone" || finish.Kind == "key-reused" {
		return
	}
	took := x.now() - x.call.began
	target := x.call.service
	if x.call.model != "" {
		took = x.answer.first - x.call.began
		target = x.call.model
	}
	for _, object := range x.syncer.Objects(registrar.KindObjective) {
		o := object.Objective
		covered := o.Measure == recorder.MeasureRequests && o.Target == target && (o.Organisation == "" || o.Organisation == x.call.organisation)
		if !covered {
			continue
		}
		late := o.PromisedMs > 0 && took > time.Duration(o.PromisedMs)*time.Millisecond
		bad := 0.0
		if finish.Verdict != dispatcher.Answered || late {
			bad = 1
		}
		x.burn.Add(x.now(), recorder.Series{
			Measure: o.Measure, Target: target, Organisation: o.Organisation, Percent: o.Percent, PromisedMs: o.PromisedMs,
		}, 1, bad)
	}
}
