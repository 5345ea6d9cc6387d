package gateway

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/dogwoodflow/dogwoodflow/internal/explain"
	"github.com/dogwoodflow/dogwoodflow/internal/routes"
	"github.com/dogwoodflow/dogwoodflow/internal/shares"
)

// Guards against a log line of a refusal from which internal/explain can't read the inputs, for
// example because a field has the name of one that every line has, and against a refused call that
// was sent.
func TestRefusalIsExplainedFromItsLogLine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate, upstreams := setup(ok(0))
		var out bytes.Buffer
		gate.log = zerolog.New(&out).With().Timestamp().Logger()
		table := shares.Table{Demands: []shares.Demand{{Customer: "koperasi", Level: 4, Rate: 1e6}}, Known: true, Admitted: 0.02, Daemons: 61, NextReport: shares.MinInterval}
		gate.SetFleet("s", table, gate.now())
		var refusal *Refusal
		for range 2 { // the first one is admitted by its random phase in one of 50 runs
			c := call()
			c.Customer, c.Priority = "koperasi", 2
			if _, refusal = gate.Do(context.Background(), route(routes.Safe, 2), c); refusal != nil {
				break
			}
		}
		g.Expect(refusal).NotTo(BeNil())
		g.Expect(upstreams.total()).To(BeNumerically("<=", 1))
		lines, _, err := explain.Read(&out)
		g.Expect(err).NotTo(HaveOccurred())
		explanation, err := explain.Explain(lines, "c")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(explanation.Cause).To(MatchRegexp(
			`answered 503 before any send \(not admitted: share\); customer koperasi, priority 2; admitted: 2\.\d% of its calls, 2\.\d% of all \(by the fleet's demand, 0 ms old\); queue time .*, 780 ms left`))
		g.Expect(explanation.Lines[0].Level).To(Equal("warn"))
	})
}
