package runner

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"papayaseam/internal/configurer"
	"papayaseam/internal/director"
	"papayaseam/internal/gatekeeper"
	"papayaseam/internal/limiter"
	"papayaseam/platform"

	"github.com/VictoriaMetrics/metrics"
)

const settingsEvery = 500 * time.Millisecond

// assembleDirect adds the roles that serve endpoints without side processes.
func (p *process) assembleDirect(ctx context.Context) error {
	s := p.settings
	takeLibraryLogs(p.log)
	if s.Direct.MetricsOn != "" {
		if err := p.listen(ctx, s.Direct.MetricsOn, metricsHandler(), limiter.PortProbe); err != nil {
			return err
		}
	}
	if s.Has(configurer.RoleDirectControl) {
		if err := p.addDirector(ctx); err != nil {
			return err
		}
	}
	if s.Has(configurer.RoleDirectEntry) {
		return p.addGatekeeper(ctx)
	}
	return nil
}

func metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
	})
	return mux
}

func (p *process) addDirector(ctx context.Context) error {
	s := p.settings.Direct
	d, err := director.New(director.Config{
		Name: p.settings.Name, FailureDomain: p.settings.FailureDomain, Address: s.Address, ListenAddress: s.Listen, Seeds: s.Seeds, FirstStart: s.First, DataFolder: s.DataFolder,
		FailureDomains:  s.FailureDomains,
		ToleratedLosses: s.Losses, GroupStallTimeout: s.BreakAfter, Decode: platform.DecodeConfiguration,
	}, platform.NewEndpoints(), p.log)
	if err != nil {
		return err
	}
	p.reseed = append(p.reseed, d.SetSeeds)
	p.drainers = append(p.drainers, d)
	d.RegisterHandlers(p.inner)
	p.actor(ctx, d.Run)
	if err := p.listen(ctx, s.Address, p.inner, limiter.PortInner); err != nil {
		return err
	}
	return p.listen(ctx, s.Listen, platform.Control(d), limiter.PortMain)
}

func (p *process) addGatekeeper(ctx context.Context) error {
	s := p.settings.Direct
	g := gatekeeper.New(gatekeeper.Config{
		Name: p.settings.Name, FailureDomain: p.settings.FailureDomain, Seeds: s.Seeds, Lease: s.Lease,
		RetryRatio: s.RetryRatio, EvacuateWithin: s.EvacuateWithin, Decode: platform.DecodeConfiguration, OrganisationShares: s.Shares, Health: platform.NewEndpoints(), Limits: p.limits,
	}, platform.Dialect{}, p.log)
	p.reseed = append(p.reseed, g.SetSeeds)
	p.drainers = append(p.drainers, g)
	p.actor(ctx, g.Run)
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+s.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !g.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	if err := p.listen(ctx, s.ReadyOn, ready, limiter.PortProbe); err != nil {
		return err
	}
	return p.listen(ctx, s.Listen, g, limiter.PortMain)
}

// watchSettings takes changed seeds from the settings file, at a signal or when
// the file has changed without one.
func (p *process) watchSettings(ctx context.Context) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(settingsEvery)
	defer ticker.Stop()
	seeds := p.settings.Direct.Seeds
	var changed time.Time
	for {
		forced := false
		select {
		case <-ctx.Done():
			return nil
		case <-hangups:
			forced = true
		case <-ticker.C:
		}
		info, err := os.Stat(p.settings.File)
		if err != nil || (!forced && info.ModTime().Equal(changed)) {
			continue
		}
		changed = info.ModTime()
		next, err := configurer.Read(p.settings.File)
		if err != nil {
			p.log.Warn("changed settings are not valid and not taken", "err", err)
			continue
		}
		if !slices.Equal(next.Direct.Seeds, seeds) {
			seeds = next.Direct.Seeds
			p.log.Info("seeds exchanged", "seeds", seeds)
			for _, reseed := range p.reseed {
				reseed(seeds)
			}
		}
	}
}
