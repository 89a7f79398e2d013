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

// sendOrder sends one order in the background, unless this process may no longer
// act as the leader of its term by then. The caller holds mu.
func (d *Director) sendOrder(ctx context.Context, order placer.Order) {
	e, ok := d.tracker().Endpoint(order.Instance)
	if !ok || e.View.Born != order.BootTime {
		return
	}
	d.fleet.token++
	decidedAt := now()
	term, token := d.term, d.term*placer.EpochsPerTerm+d.fleet.token
	d.spawnLocked("order", func() {
		d.orderSlots <- struct{}{}
		defer func() { <-d.orderSlots }()
		if !d.mayActInTerm(term) {
			d.log.Info("order withheld", "endpoint", order.Instance, "op", order.Op, "group", order.Group, "token", token, "reason", "leadership is not confirmed by a quorum")
			return
		}
		d.recordOrderSent(e.View, order)
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		started, err := d.endpoints.Order(callCtx, e.View, order, token)
		d.recordOrderResult(e.View, order, started, err)
		d.log.Info("order", "endpoint", order.Instance, "op", order.Op, "group", order.Group, "model", order.Model, "token", token,
			"accepted-orders", order.AcceptedOrders, "report-age-ms", (decidedAt - e.ReportedAt).Milliseconds(), "err", err)
		if !started {
			// An endpoint that starts to carry out an order announces itself.
			d.pollEndpoint(ctx, e.View, reportTimeout)
		}
	})
}

// mayActInTerm reports whether this process may act as the leader of a term.
func (d *Director) mayActInTerm(term int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.term == term && d.mayAct()
}

// recordOrderSent prepares the endpoint table for the effect of an order to leave, which
// may be announced before the order is answered.
func (d *Director) recordOrderSent(view messenger.EndpointView, order placer.Order) {
	if order.Op != placer.OpLeave {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tracker().Update(tracker.LeaveSentMsg{ID: view.Instance, BootTime: view.Born, Group: order.Group, Epoch: order.Epoch})
}

// recordOrderResult counts the outcome of an order and updates the endpoint table
// and the placer.
func (d *Director) recordOrderResult(view messenger.EndpointView, order placer.Order, started bool, err error) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`papayaseam_orders_total{op=%q,result=%q}`, order.Op, orderResultLabel(started, err))).Inc()
	d.mu.Lock()
	defer d.mu.Unlock()
	if started && order.Op != placer.OpLeave {
		d.tracker().Update(tracker.OrderStartedMsg{Now: now(), ID: view.Instance, BootTime: view.Born})
	}
	if err == nil && order.Op == placer.OpLeave &&
		d.tracker().Update(tracker.LeftMsg{Now: now(), ID: view.Instance, BootTime: view.Born, Group: order.Group, Epoch: order.Epoch}) {
		d.triggerPlan()
	}
	p := d.fleet.placers[view.Service]
	switch {
	case err == nil || p == nil:
	case order.Op == placer.OpStage:
		p.RecordStageFailure(order.Instance)
	case errors.Is(err, ErrSuperseded):
		p.RecordRefusal(order.Group)
	case errors.Is(err, ErrOutdated):
		p.RecordOutdated(order)
	}
}

// orderResultLabel returns the metric label of an order's outcome.
func orderResultLabel(started bool, err error) string {
	switch {
	case started:
		return "begun"
	case err == nil:
		return "holds"
	case errors.Is(err, ErrSuperseded):
		return "superseded"
	case errors.Is(err, ErrOutdated):
		return "outdated"
	case errors.Is(err, ErrNotAtAddress):
		return "refused"
	}
	return "failed"
}
