package toucancommand

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// gauges holds the metrics that read the state of a host. They are not in the default
// set, because tests create several hosts in one process, one after another.
type gauges struct{ set *metrics.Set }

// newGauges registers the gauges of a host.
func newGauges(h *host) *gauges {
	g := &gauges{metrics.NewSet()}
	g.set.NewGauge("toucan_config_revision", func() float64 { return float64(h.syncer.Status().Revision) })
	g.set.NewGauge("toucan_config_age_seconds", func() float64 { return h.syncer.Status().Age.Seconds() })
	g.set.NewGauge("toucan_view_number", func() float64 { return float64(h.membership.View().Number()) })
	g.set.NewGauge("toucan_view_members", func() float64 { return float64(len(h.membership.View().Members())) })
	g.set.NewGauge("toucan_lease_held", func() float64 { return boolGauge(h.membership.LeaseHeld()) })
	g.set.NewGauge("toucan_route_ejected", func() float64 { return float64(h.dispatcher.Selector.EjectedCount()) })
	g.set.NewGauge("toucan_hedge_tokens", func() float64 { return float64(h.dispatcher.Budget.Tokens()) })
	g.set.NewGauge("toucan_slots_in_use", func() float64 { return float64(h.limiter.InFlight()) })
	g.set.NewGauge("toucan_claim_pending", func() float64 { return float64(h.claims.Pending()) })
	g.set.NewGauge("toucan_queries_running", func() float64 { return float64(h.drainer.Queries()) })
	metrics.RegisterSet(g.set)
	g.set.RegisterMetricsWriter(h.writeRolloutStages)
	return g
}

// close unregisters the gauges.
func (g *gauges) close() { metrics.UnregisterSet(g.set, true) }

// writeRolloutStages writes the stage of each rollout, labelled with its name and phase.
// These gauges are not in the set, because rollouts are added and removed with the
// configuration.
func (h *host) writeRolloutStages(w io.Writer) {
	for _, rollout := range h.canary.States() {
		name := fmt.Sprintf("toucan_move_stage{move=%q,phase=%q}", rollout.GetName(), phaseName(rollout.GetPhase()))
		metrics.WriteGaugeUint64(w, name, uint64(rollout.GetStage()))
	}
}

func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
