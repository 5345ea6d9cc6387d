package admission_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/admission"
	"github.com/dogwoodflow/dogwoodflow/internal/limits"
	"github.com/dogwoodflow/dogwoodflow/internal/shares"
)

const ms = time.Millisecond

// busy is the load of upstreams whose queues are at the target of a route with 150 ms.
var busy = admission.Load{QueueTime: 40 * ms, RunTime: 25 * ms, Known: true}

// call returns a call of a customer that is not late and has enough time left.
func call(customer string, priority int) admission.Request {
	return admission.Request{Customer: customer, Priority: priority, Route: "r", LatencyTarget: 150 * ms, TimeLimit: 800 * ms, TimeLeft: 800 * ms}
}

func constant(random float64) func() float64 { return func() float64 { return random } }

// fleetTable is the demand of a fleet that admits half of its calls.
func fleetTable(demands ...shares.Demand) shares.Table {
	return shares.Table{Demands: demands, Admitted: 0.5, Known: true, Daemons: 61, NextReport: 200 * ms}
}

// Guards against refusals without contention, calls that are sent although they can't be in
// time, and calls refused for a queue time that is unknown.
func TestAdmit(t *testing.T) {
	short, small := call("a", 0), call("a", 1)
	short.TimeLeft, small.Priority = 60*ms, -3
	for name, c := range map[string]struct {
		admitted float64 // fraction that the fleet admits, 0: not contended
		request  admission.Request
		load     admission.Load
		random   float64
		want     admission.Decision
	}{
		"no contention":            {0, call("a", 0), busy, 0, admission.Decision{Fraction: 1}},
		"no contention, too late":  {0, short, busy, 0, admission.Decision{Fraction: 1}},
		"within the share":         {0.5, call("a", 0), busy, 0.5, admission.Decision{Fraction: 0.5}},
		"outside of the share":     {0.5, call("a", 0), busy, 0.4, admission.Decision{Refused: admission.Share, Fraction: 0.5}},
		"too late":                 {0.5, short, busy, 0.5, admission.Decision{Refused: admission.Deadline, Fraction: 0.5}},
		"queue time unknown":       {0.5, short, admission.Load{QueueTime: time.Second}, 0.5, admission.Decision{Fraction: 0.5}},
		"less urgent":              {0.5, call("a", 2), busy, 0.5, admission.Decision{Refused: admission.Share, Level: 4, Fraction: 0.1}},
		"priority beyond the last": {0.5, call("a", 40), busy, 0.5, admission.Decision{Refused: admission.Share, Level: 62, Fraction: 0.1}},
		"priority below the first": {0.5, small, busy, 0.5, admission.Decision{Fraction: 0.5}},
	} {
		t.Run(name, func(t *testing.T) {
			g, s := NewWithT(t), admission.NewService()
			c.want.Total, c.want.Source, c.want.Load = 1, admission.OwnDemand, c.load
			if c.admitted > 0 {
				table := fleetTable(shares.Demand{Customer: "a", Rate: 100})
				s.SetFleet(table, time.Second, time.Second)
				c.want.Total, c.want.Source = c.admitted, admission.FleetDemand
			}
			got := s.Admit(c.request, c.load, time.Second, constant(c.random))
			g.Expect(got.Fraction).To(BeNumerically("~", c.want.Fraction, 1e-9))
			g.Expect(got.Total).To(BeNumerically("~", c.want.Total, 1e-9))
			got.Fraction, got.Total = c.want.Fraction, c.want.Total
			g.Expect(got).To(Equal(c.want))
		})
	}
}

// Guards against calls that are refused as too late and use up their customer's share.
func TestDeadlineRefusalsTakeNoShare(t *testing.T) {
	g, s := NewWithT(t), admission.NewService()
	s.SetFleet(fleetTable(shares.Demand{Customer: "a", Rate: 100}), 0, 0)
	late, results := call("a", 0), ""
	late.TimeLeft = 64 * ms
	for range 4 {
		results += string(s.Admit(late, busy, 0, constant(0)).Refused) + " "
		results += string(s.Admit(call("a", 0), busy, 0, constant(0)).Refused) + " "
	}
	g.Expect(results).To(Equal("deadline share deadline  deadline share deadline  "))
}

// Guards against callers that come back and take the place of those that can still be in time,
// and against first attempts that count as late.
func TestLevelOfReturningCallers(t *testing.T) {
	for name, c := range map[string]struct {
		limit, target time.Duration
		queue         time.Duration
		route         string
		level         int
	}{
		"first attempt":                 {800 * ms, 150 * ms, 500 * ms, "r", 2},
		"back after 120 ms, 145 in all": {680 * ms, 150 * ms, 0, "r", 2},
		"back after 130 ms, 155 in all": {670 * ms, 150 * ms, 0, "r", 3},
		"back after 60 ms, long queue":  {740 * ms, 150 * ms, 70 * ms, "r", 3},
		"limit not stated":              {0, 150 * ms, 500 * ms, "r", 2},
		"route without target":          {400 * ms, 0, 500 * ms, "r", 2},
		"route with unknown limits":     {400 * ms, 150 * ms, 0, "other", 2},
	} {
		t.Run(name, func(t *testing.T) {
			g, s, r := NewWithT(t), admission.NewService(), call("a", 1)
			for range 30 {
				g.Expect(s.Admit(r, busy, 0, constant(0)).Level).To(Equal(2))
			}
			r.TimeLimit, r.TimeLeft, r.LatencyTarget, r.Route = c.limit, c.limit, c.target, c.route
			load := admission.Load{QueueTime: c.queue, RunTime: 25 * ms, Known: true}
			g.Expect(s.Admit(r, load, 0, constant(0)).Level).To(Equal(c.level))
		})
	}
}

// Guards against shares that stay at the fleet's demand after its table has expired, or at the
// daemon's own while there is one, and against an aggregated entry that counts as one customer.
func TestSourceOfTheShares(t *testing.T) {
	g, s := NewWithT(t), admission.NewService()
	demands := map[admission.Source][]limits.Demand{
		admission.FleetDemand: {{Customer: "large", Rate: 60}, {Weight: 4 * limits.DefaultWeight, Rate: 40}},
		admission.OwnDemand:   {{Customer: "large", Rate: 1}},
	}
	for _, step := range []struct {
		at          time.Duration
		table       bool // a table of 30 ms ago arrives
		source      admission.Source
		age         time.Duration
		newFraction bool // otherwise that of up to 100 ms ago is used
	}{
		{1000 * ms, true, admission.FleetDemand, 30 * ms, true},
		{1050 * ms, false, admission.FleetDemand, 80 * ms, false},
		{1560 * ms, false, admission.FleetDemand, 590 * ms, true},
		{1661 * ms, false, admission.OwnDemand, 0, true},
		{1700 * ms, false, admission.OwnDemand, 39 * ms, false},
		{1710 * ms, true, admission.FleetDemand, 30 * ms, true},
	} {
		if step.table {
			s.SetFleet(fleetTable(shares.Demand{Customer: "large", Rate: 60}, shares.Demand{Rate: 40, Customers: 4}), step.at-30*ms, step.at)
		}
		d := s.Admit(call("large", 0), busy, step.at, constant(0))
		g.Expect(d.Source).To(Equal(step.source), "%v", step.at)
		g.Expect(d.SourceAge).To(Equal(step.age), "%v", step.at)
		if step.newFraction {
			want := limits.Fractions(demands[step.source], d.Total).Admit("large", 0)
			g.Expect(d.Fraction).To(BeNumerically("~", want, 1e-9), "%v", step.at)
		}
	}
}

// Guards against a fleet's queue time that replaces a newer one of the daemon's own, and against a
// daemon without responses that never learns of an overload, or that takes one of long ago for new.
func TestFleetQueueTimeReplacesAnOldOwnOne(t *testing.T) {
	for _, c := range []struct {
		own, table, mean time.Duration // ages of the own estimate, the table and its measurements
		contended        bool
	}{{300 * ms, 0, 0, false}, {301 * ms, 0, 0, true}, {400 * ms, 100 * ms, 400 * ms, true}, {400 * ms, 100 * ms, 401 * ms, false}} {
		age, contended := c.own, c.contended
		g, s := NewWithT(t), admission.NewService()
		s.Observe(admission.Load{RunTime: 25 * ms, Known: true}, 150*ms, time.Second)
		now := time.Second + age
		table := fleetTable()
		table.Admitted, table.QueueTime, table.QueueAge = 1, 200*ms, c.mean
		s.SetFleet(table, now-c.table, now)
		g.Expect(s.Contended(now)).To(Equal(contended), "%v", age)
		_, reported := s.Report(now)
		g.Expect(reported).To(Equal(contended), "%v", age)
	}
}

// Guards against a caller that is told to come back at a time that the admission's state does not
// support. The times themselves are tested with limits.RetryAfter.
func TestRetryAfter(t *testing.T) {
	g, free, contended := NewWithT(t), admission.NewService(), admission.NewService()
	contended.SetFleet(fleetTable(), 0, 0)
	for _, c := range []struct {
		s        *admission.Service
		priority int
		left     time.Duration
		want     time.Duration
		ok       bool
	}{
		{free, 0, 600 * ms, 31250 * time.Microsecond, true}, // one to two run times
		{contended, 0, 600 * ms, 125 * ms, true},            // upper half of a third
		{contended, 1, 600 * ms, 150 * ms, true},            // less urgent: later
		{contended, 0, 60 * ms, 0, false},                   // not served any more
	} {
		r := call("a", c.priority)
		r.TimeLeft = c.left
		wait, ok := c.s.RetryAfter(r, busy, 0, 0.25)
		g.Expect(ok).To(Equal(c.ok))
		g.Expect(wait).To(BeNumerically("~", c.want, ms/100))
	}
}

// Guards against a status without the refusals of a customer that has given up, an unknown queue
// time that is shown as 0, and counts that grow with made-up customers.
func TestStatus(t *testing.T) {
	g, s := NewWithT(t), admission.NewService()
	s.SetFleet(fleetTable(shares.Demand{Customer: "a", Rate: 100}), 0, 0)
	late := call("gone", 0)
	late.TimeLeft = ms
	s.Admit(late, busy, 0, constant(0))
	s.Admit(call("a", 1), busy, 0, constant(0))
	later := 8 * time.Second
	s.SetFleet(fleetTable(shares.Demand{Customer: "a", Rate: 100}), later, later)
	s.Admit(call("a", 1), busy, later, constant(0.95))
	status := s.Status("s", admission.Load{}, later+50*ms)
	var text bytes.Buffer
	admission.WriteText(&text, []admission.Status{status})
	g.Expect(text.String()).To(Equal(`admission_fraction{service="s"} 0.5
admission_queue_ms{service="s"} -1
admission_share_age_ms{service="s",source="fleet"} 50
admission_share_daemons{service="s"} 61
admission_waiting{service="s"} 0
admission_oldest_wait_ms{service="s"} 0
admission_customer_admitted{service="s",customer="a"} 1
admission_customer_refused{service="s",customer="a",reason="share"} 1
admission_customer_refused{service="s",customer="a",reason="deadline"} 0
admission_customer_refused{service="s",customer="a",reason="queue"} 0
admission_customer_rate{service="s",customer="a",level="2"} 0.9515
admission_customer_fraction{service="s",customer="a",level="2"} 0.1
admission_customer_admitted{service="s",customer="gone"} 0
admission_customer_refused{service="s",customer="gone",reason="share"} 0
admission_customer_refused{service="s",customer="gone",reason="deadline"} 1
admission_customer_refused{service="s",customer="gone",reason="queue"} 0
`))
	for i := range 5000 {
		s.Admit(call(fmt.Sprint(i), 0), busy, later, constant(0))
	}
	counted := int64(0)
	for _, c := range s.Status("s", busy, later).Customers {
		if c.Customer == "" {
			counted = c.Admitted + c.RefusedShare
		}
	}
	g.Expect(counted).To(Equal(int64(5000 - (1024 - 2))))
}
