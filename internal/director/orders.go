package director

import (
	"context"
	"fmt"

	"papayaseam/internal/messenger"
	"papayaseam/internal/placer"
	"papayaseam/internal/tracker"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
)

// sendOrder sends one order, unless the lead has ended meanwhile; mu is held.
func (d *Director) sendOrder(ctx context.Context, order placer.Order) {
	e, ok := d.table().Endpoint(order.Instance)
	if !ok || e.View.Born != order.Born {
		return
	}
	d.fleet.token++
	term, token := d.term, d.term*placer.EpochsPerTerm+d.fleet.token
	d.beginLocked("order", func() {
		d.orders <- struct{}{}
		defer func() { <-d.orders }()
		if !d.actsIn(term) {
			d.log.Info("order withheld", "endpoint", order.Instance, "op", order.Op, "group", order.Group, "token", token, "reason", "the lead is not confirmed")
			return
		}
		call, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		begun, err := d.endpoints.Order(call, e.View, order, token)
		d.noteOrder(e.View, order, begun, err)
		d.log.Info("order", "endpoint", order.Instance, "op", order.Op, "group", order.Group, "model", order.Model, "token", token, "err", err)
		if !begun {
			// An order that begins something is followed by an announcement.
			d.pollOne(ctx, e.View, reportTimeout)
		}
	})
}

// actsIn reports whether this process may act as the leader of a term.
func (d *Director) actsIn(term int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.term == term && d.mayAct()
}

// noteOrder changes what is believed of an endpoint by how it took an order.
func (d *Director) noteOrder(view messenger.EndpointView, order placer.Order, begun bool, err error) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`papayaseam_orders_total{op=%q,result=%q}`, order.Op, resultOf(begun, err))).Inc()
	d.mu.Lock()
	defer d.mu.Unlock()
	if begun {
		d.table().Update(tracker.OrderStartedMsg{Now: now(), ID: view.Instance, BootTime: view.Born})
	}
	p := d.fleet.placers[view.Service]
	switch {
	case err == nil || p == nil:
	case order.Op == placer.OpStage:
		p.RecordStageFailure(order.Instance)
	case errors.Is(err, ErrSuperseded):
		p.RecordRefusal(order.Group)
	}
}

// resultOf is the class of an order's outcome in metrics.
func resultOf(begun bool, err error) string {
	switch {
	case begun:
		return "begun"
	case err == nil:
		return "holds"
	case errors.Is(err, ErrSuperseded):
		return "superseded"
	case errors.Is(err, ErrBootEnded):
		return "ended"
	}
	return "failed"
}
