// Package exposer serves the health, readiness and metrics of a process and
// builds its logger.
//
// # Usage
//
//	health := exposer.NewHealth()
//	health.Register(mux)
//	health.SetReady("sync", true)
package exposer

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
)

// Health is the readiness of one process: ready when every named condition
// holds. It is safe for concurrent use.
type Health struct {
	mu         sync.Mutex
	conditions map[string]bool
}

// NewHealth returns a health that waits for the named conditions.
func NewHealth(conditions ...string) *Health {
	h := &Health{conditions: map[string]bool{}}
	for _, name := range conditions {
		h.conditions[name] = false
	}
	return h
}

// SetReady sets one condition.
func (h *Health) SetReady(name string, ready bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.conditions[name] = ready
}

// Unmet returns the conditions that do not hold, sorted.
func (h *Health) Unmet() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var unmet []string
	for name, ready := range h.conditions {
		if !ready {
			unmet = append(unmet, name)
		}
	}
	slices.Sort(unmet)
	return unmet
}

// Register adds /healthz, /readyz and /metrics.
func (h *Health) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok\n")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if unmet := h.Unmet(); len(unmet) > 0 {
			http.Error(w, "not ready: "+strings.Join(unmet, ", "), http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ready\n")
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
	})
}

// logTime is how lines tell the time, to the millisecond.
const logTime = "2006-01-02T15:04:05.000Z07:00"

// NewLogger returns a logger that writes one line of key=value pairs for each
// event.
func NewLogger(w io.Writer, process string) *log.Logger {
	logger := log.NewWithOptions(w, log.Options{ReportTimestamp: true, TimeFormat: logTime, Formatter: log.LogfmtFormatter})
	return logger.With("process", process)
}
