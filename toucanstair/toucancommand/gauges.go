package toucancommand

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// gauges holds the gauges of one process, apart from the default set, because
// tests run several processes' parts one after another.
type gauges struct{ set *metrics.Set }

func newGauges(n *node) *gauges {
	g := &gauges{metrics.NewSet()}
	g.set.NewGauge("toucan_config_revision", func() float64 { return float64(n.keeper.Status().Revision) })
	g.set.NewGauge("toucan_config_age_seconds", func() float64 { return n.keeper.Status().Age.Seconds() })
	g.set.NewGauge("toucan_view_number", func() float64 { return float64(n.members.View().Number()) })
	g.set.NewGauge("toucan_view_members", func() float64 { return float64(len(n.members.View().Members())) })
	g.set.NewGauge("toucan_lease_held", func() float64 { return one(n.members.LeaseHeld()) })
	g.set.NewGauge("toucan_route_ejected", func() float64 { return float64(n.cell.Selector.EjectedCount()) })
	g.set.NewGauge("toucan_hedge_tokens", func() float64 { return float64(n.cell.Budget.Tokens()) })
	g.set.NewGauge("toucan_slots_in_use", func() float64 { return float64(n.table.InFlight()) })
	g.set.NewGauge("toucan_claim_pending", func() float64 { return float64(n.claims.Pending()) })
	g.set.NewGauge("toucan_queries_running", func() float64 { return float64(n.drainer.Queries()) })
	metrics.RegisterSet(g.set)
	g.set.RegisterMetricsWriter(n.writeMoves)
	return g
}

func (g *gauges) close() { metrics.UnregisterSet(g.set, true) }

// writeMoves writes the phase and stage of each move; moves come and go with
// the configuration, so they are not kept in a set.
func (n *node) writeMoves(w io.Writer) {
	for _, m := range n.judge.States() {
		name := fmt.Sprintf("toucan_move_stage{move=%q,phase=%q}", m.GetName(), phaseWord(m.GetPhase()))
		metrics.WriteGaugeUint64(w, name, uint64(m.GetStage()))
	}
}

func one(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
