package admission

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/routing"
)

// maxCounted bounds the customers whose calls are counted; further ones count as "".
const maxCounted = 1024

// Counts are the calls of a customer since the start of the daemon.
type Counts struct {
	Admitted int64 `json:"admitted"`
	// Of the refused calls, those outside of the customer's share, and those that could not
	// have been answered in time.
	RefusedShare    int64 `json:"refused_share"`
	RefusedDeadline int64 `json:"refused_deadline"`
	// RefusedQueue counts those that could not start by their latest useful start, though they
	// were within the customer's share.
	RefusedQueue int64 `json:"refused_queue"`
}

// NoLevel is the level in the status of a customer that was refused calls but has made none lately.
const NoLevel = -1

// CustomerStatus describes the calls of a customer at one level.
type CustomerStatus struct {
	Customer string  `json:"customer"` // "" for calls without one
	Level    int     `json:"level"`    // 2 x priority, plus 1 for calls that are late; NoLevel: no recent calls
	Rate     float64 `json:"rate"`     // own calls per second
	Fraction float64 `json:"fraction"` // of them that is admitted
	Counts           // of all levels
}

// Status describes the admission to a service for operators.
type Status struct {
	Service     string  `json:"service"`
	Admitted    float64 `json:"admitted"` // fraction of all calls
	Contended   bool    `json:"contended"`
	QueueTimeMS float64 `json:"queue_time_ms"` // -1: unknown
	RunTimeMS   float64 `json:"run_time_ms"`
	Source      Source  `json:"source"`
	SourceAgeMS int64   `json:"source_age_ms"` // -1 while all calls are admitted
	Daemons     int     `json:"daemons"`       // whose demand is known
	Waiting     int     `json:"waiting"`       // calls that wait for room at an upstream
	// OldestWaitMS is how long the oldest of them has waited.
	OldestWaitMS float64          `json:"oldest_wait_ms"`
	Customers    []CustomerStatus `json:"customers"`
}

func (s *Service) count(customer string, refused Reason) {
	c := s.counts[customer]
	if c == nil {
		if len(s.counts) >= maxCounted {
			customer = ""
		}
		if c = s.counts[customer]; c == nil {
			c = &Counts{}
			s.counts[customer] = c
		}
	}
	switch refused {
	case Share:
		c.RefusedShare++
	case Deadline:
		c.RefusedDeadline++
	case Queue: // Admit has counted the call as admitted
		c.RefusedQueue++
		c.Admitted--
	default:
		c.Admitted++
	}
}

// Status returns the state of the admission.
func (s *Service) Status(service string, load Load, now time.Duration) Status {
	out := Status{
		Service: service, Admitted: s.overload.Admitted(now), Contended: s.overload.Contended(now), QueueTimeMS: -1,
		RunTimeMS: milliseconds(load.RunTime), Source: OwnDemand, SourceAgeMS: -1, Daemons: 1, Customers: []CustomerStatus{},
	}
	if load.Known {
		out.QueueTimeMS = milliseconds(load.QueueTime)
	}
	if out.Admitted < 1 {
		s.updateShares(out.Admitted, now)
		out.SourceAgeMS = (now - s.sharesAt).Milliseconds()
	}
	if s.fleetFresh(now) {
		out.Source, out.SourceAgeMS, out.Daemons = FleetDemand, (now - s.fleetAt).Milliseconds(), s.fleet.Daemons
	}
	if s.waiting != nil {
		out.Waiting = s.Waiting()
		out.OldestWaitMS = milliseconds(s.waiting.queue.OldestWait(routing.ClassProduction, queueTime(now)))
	}
	listed := map[string]bool{}
	for _, d := range s.demand.Demands(now) {
		listed[d.Customer] = true
		entry := CustomerStatus{Customer: d.Customer, Level: d.Level, Rate: d.Rate, Fraction: 1}
		if out.Admitted < 1 {
			entry.Fraction = s.shares.Admit(d.Customer, d.Level)
		}
		if c := s.counts[d.Customer]; c != nil {
			entry.Counts = *c
		}
		out.Customers = append(out.Customers, entry)
	}
	for customer, c := range s.counts {
		if !listed[customer] && c.RefusedShare+c.RefusedDeadline+c.RefusedQueue > 0 {
			out.Customers = append(out.Customers, CustomerStatus{Customer: customer, Level: NoLevel, Counts: *c})
		}
	}
	slices.SortFunc(out.Customers, func(a, b CustomerStatus) int {
		return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Level, b.Level))
	})
	return out
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// WriteText writes the state of admissions as metrics, one name and value per line, labelled by
// service and customer. The two fractions are those of a service and of a customer's calls.
func WriteText(w io.Writer, statuses []Status) {
	for _, s := range statuses {
		service := fmt.Sprintf("service=%q", s.Service)
		fmt.Fprintf(w, "admission_fraction{%s} %.4g\n", service, s.Admitted)
		fmt.Fprintf(w, "admission_queue_ms{%s} %.4g\n", service, s.QueueTimeMS)
		fmt.Fprintf(w, "admission_share_age_ms{%s,source=%q} %d\n", service, s.Source, s.SourceAgeMS)
		fmt.Fprintf(w, "admission_share_daemons{%s} %d\n", service, s.Daemons)
		fmt.Fprintf(w, "admission_waiting{%s} %d\n", service, s.Waiting)
		fmt.Fprintf(w, "admission_oldest_wait_ms{%s} %.4g\n", service, s.OldestWaitMS)
		counted := ""
		for i, c := range s.Customers {
			labels := fmt.Sprintf("%s,customer=%q", service, c.Customer)
			if i == 0 || c.Customer != counted { // the counts are of all levels
				fmt.Fprintf(w, "admission_customer_admitted{%s} %d\n", labels, c.Admitted)
				fmt.Fprintf(w, "admission_customer_refused{%s,reason=%q} %d\n", labels, Share, c.RefusedShare)
				fmt.Fprintf(w, "admission_customer_refused{%s,reason=%q} %d\n", labels, Deadline, c.RefusedDeadline)
				fmt.Fprintf(w, "admission_customer_refused{%s,reason=%q} %d\n", labels, Queue, c.RefusedQueue)
			}
			counted = c.Customer
			if c.Level == NoLevel {
				continue
			}
			fmt.Fprintf(w, "admission_customer_rate{%s,level=\"%d\"} %.4g\n", labels, c.Level, c.Rate)
			fmt.Fprintf(w, "admission_customer_fraction{%s,level=\"%d\"} %.4g\n", labels, c.Level, c.Fraction)
		}
	}
}
