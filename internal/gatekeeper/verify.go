package gatekeeper

import (
	"context"
	"fmt"
	"time"

	"papayaseam/internal/chooser"
	"papayaseam/internal/describer"
	"papayaseam/internal/messenger"
	"papayaseam/internal/timekeeper"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
)

const (
	// verifyInterval is the time between looks for endpoints to check. It is well below
	// the time for which an endpoint that broke is not tried again in any case.
	verifyInterval = 20 * time.Millisecond
	// verifyTimeout bounds a check; a round trip takes a few milliseconds.
	verifyTimeout = 300 * time.Millisecond
	// maxConcurrentChecks bounds the checks under way, when many endpoints break together.
	maxConcurrentChecks = 16
)

// ErrColdUnknown marks errors of health checks whose answer does not tell in a readable form
// for how long the endpoint is cold. It counts as cold for the declared time.
var ErrColdUnknown = errors.New("the endpoint answers, but does not tell for how long it is cold")

// HealthClient checks the health of endpoints.
type HealthClient interface {
	// ColdTime returns for how long the endpoint is cold, by its answer to a health check.
	// Any error that is not marked with ErrColdUnknown means that it did not answer.
	ColdTime(ctx context.Context, endpoint messenger.EndpointView, path string) (time.Duration, error)
}

// noteBroken has an endpoint that did not answer, or broke a connection, checked before it
// gets another request. It may have been restarted, or have been away, and be cold before
// control knows, or while this entry does not reach control. Only services that limit
// their cold endpoints are concerned.
func (g *Gatekeeper) noteBroken(ctx context.Context, e *exchange, target chooser.Target) {
	if ctx.Err() != nil || g.cfg.Health == nil || e.service.ColdRate <= 0 || e.service.HealthPath == "" {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.chooser.Update(chooser.BrokenMsg{Now: timekeeper.Now(), ID: target.ID, BootTime: target.BootTime})
}

// verifyEndpoints checks the endpoints that broke until the context ends.
func (g *Gatekeeper) verifyEndpoints(ctx context.Context) {
	if g.cfg.Health == nil {
		return
	}
	done := make(chan struct{})
	running := 0
	defer func() {
		for ; running > 0; running-- {
			<-done
		}
	}()
	ticker := time.NewTicker(verifyInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-done:
			running--
		case <-ticker.C:
		}
		for running < maxConcurrentChecks {
			target, service, ok := g.dueCheck()
			if !ok {
				break
			}
			running++
			go func() {
				g.verify(ctx, target, service)
				done <- struct{}{}
			}()
		}
	}
}

// dueCheck returns an endpoint to check now, and its service.
func (g *Gatekeeper) dueCheck() (target chooser.Target, service describer.Service, ok bool) {
	active := g.active.Load()
	if active == nil || active.config == nil {
		return target, service, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	target, name, ok := g.chooser.DueCheck(timekeeper.Now())
	service, _ = active.config.Service(name)
	return target, service, ok
}

// verify checks one endpoint.
func (g *Gatekeeper) verify(ctx context.Context, target chooser.Target, service describer.Service) {
	startedAt := timekeeper.Now()
	callCtx, cancel := context.WithTimeout(ctx, verifyTimeout)
	defer cancel()
	cold, err := g.cfg.Health.ColdTime(callCtx, messenger.EndpointView{Instance: target.ID, Address: target.Address}, service.HealthPath)
	if errors.Is(err, ErrColdUnknown) {
		g.log.Warn("health check of an endpoint is not readable", "endpoint", target.ID, "err", err)
		cold, err = service.ColdTime, nil
	}
	result := "failed"
	switch {
	case err == nil && cold > 0:
		result = "cold"
	case err == nil:
		result = "warm"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`papayaseam_endpoint_checks_total{result=%q}`, result)).Inc()
	if cold > 0 {
		g.log.Info("endpoint that broke is cold", "endpoint", target.ID, "boot", target.BootTime, "cold-ms", cold.Milliseconds())
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.chooser.Update(chooser.CheckedMsg{Now: timekeeper.Now(), StartedAt: startedAt, ID: target.ID, BootTime: target.BootTime, Answered: err == nil, Cold: cold})
}
