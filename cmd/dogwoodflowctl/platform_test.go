package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"

	"github.com/gorilla/mux"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/dogwoodflow/dogwoodflow/internal/admission"
	"github.com/dogwoodflow/dogwoodflow/internal/customers"
	"github.com/dogwoodflow/dogwoodflow/internal/golden"
	"github.com/dogwoodflow/dogwoodflow/internal/inspect"
	"github.com/dogwoodflow/dogwoodflow/internal/inspect/pages"
)

// fakePlatformDaemon is a daemon on the platform that reports a fixed state.
type fakePlatformDaemon struct {
	vm  string
	end error // result of End
}

func (d fakePlatformDaemon) Status() inspect.Status {
	return inspect.Status{
		VM: d.vm, DataCentre: "east", OwnedPartitions: []int{0, 4}, Config: inspect.Configuration{Version: 7, AgeMS: 1500, Routes: 3},
		Views: []inspect.View{{Topic: "batches", Part: 0, AgeMS: 120, InContact: true}, {Topic: "claims", AgeMS: 2300}},
	}
}

func (d fakePlatformDaemon) Batches() []inspect.Batch {
	return []inspect.Batch{{ID: "b1", Model: "m", Part: 4, Owner: d.vm, AgeMS: 3000, Samples: 8, Completed: 5, Dead: 1, Running: 2}}
}

func (d fakePlatformDaemon) Batch(id string) (inspect.BatchDetail, bool) {
	if id != "b1" {
		return inspect.BatchDetail{}, false
	}
	return inspect.BatchDetail{Batch: d.Batches()[0], SampleDetails: []inspect.Sample{
		{ID: "s1", Group: "g1", State: "completed", Position: 3, Events: 12},
		{ID: "s2", Group: "g1", State: "running", Position: -1, Events: 2, Upstream: "i-1"},
	}}, true
}

func (d fakePlatformDaemon) Duties() inspect.Duties {
	return inspect.Duties{Rank: 1, LastWindow: 357924715, Holders: []inspect.Holder{{Duty: "duty/usage", VM: "vm-2", Fence: 54, AgeMS: 1200}},
		ServerCounts: []inspect.Servers{{Service: "engines", DataCentre: "east", Regular: 16, Spot: 5, SpotOrdered: 8}}}
}

func (d fakePlatformDaemon) Customers() []customers.ActiveKey {
	return []customers.ActiveKey{{Customer: "koperasi", SHA256: "1329b75e367c"}}
}

func (d fakePlatformDaemon) Upstreams() []inspect.Upstream {
	return []inspect.Upstream{{ID: "i-1", Service: "engines", Address: "10.0.0.1:80", DataCentre: "east", Leaving: true, Slots: 8,
		Models: map[string]int64{"m": 6, "a": 2}, DutyHolder: "vm-2", Fence: 41}}
}

func (d fakePlatformDaemon) Load() []admission.Status {
	return []admission.Status{
		{Service: "idle", Admitted: 1, QueueTimeMS: -1, Source: admission.OwnDemand, SourceAgeMS: -1, Daemons: 1},
		{Service: "plain", Admitted: 0.314, Contended: true, QueueTimeMS: 41.25, RunTimeMS: 25, Source: admission.FleetDemand, SourceAgeMS: 180, Daemons: 61, Waiting: 7, OldestWaitMS: 31.5, Customers: []admission.CustomerStatus{
			{Customer: "", Level: 2, Rate: 0.4, Fraction: 1, Counts: admission.Counts{Admitted: 9}},
			{Customer: "koperasi", Level: 2, Rate: 85.25, Fraction: 0.25, Counts: admission.Counts{Admitted: 40, RefusedShare: 120, RefusedDeadline: 3, RefusedQueue: 5}},
			{Customer: "koperasi", Level: 3, Rate: 20, Fraction: 0.1, Counts: admission.Counts{Admitted: 40, RefusedShare: 120, RefusedDeadline: 3, RefusedQueue: 5}},
			{Customer: "warung", Level: admission.NoLevel, Counts: admission.Counts{RefusedShare: 7}},
		}},
	}
}

func (d fakePlatformDaemon) End(context.Context, string) error { return d.end }

var _ = Describe("platform", func() {
	serve := func(d fakePlatformDaemon) string {
		r := mux.NewRouter()
		pages.Register(r, d, d, zerolog.Nop())
		server := httptest.NewServer(r)
		DeferCleanup(server.Close)
		return server.URL
	}
	runPlatform := func(args ...string) (code int, out, errors string) {
		var stdout, stderr bytes.Buffer
		code = run(context.Background(), append([]string{"platform"}, args...), strings.NewReader(""), &stdout, &stderr)
		return code, stdout.String(), stderr.String()
	}

	It("shows each daemon's view of the store, and which daemons don't answer", func() {
		one, two := serve(fakePlatformDaemon{vm: "vm-1"}), serve(fakePlatformDaemon{vm: "vm-2"})
		code, out, failed := runPlatform("status", "--daemons", one+","+two+",http://127.0.0.1:1")
		Expect(code).To(Equal(exitFailed))
		Expect(out).To(MatchRegexp(`vm-1\s+east\s+yes\s+7\s+1\.5s\s+3\s+0 4\s+2\.3s\s+claims/0`))
		Expect(out).To(ContainSubstring("vm-2"))
		Expect(failed).To(ContainSubstring("127.0.0.1:1"))
	})

	It("shows the holders of the duties and the number of servers", func() {
		code, out, _ := runPlatform("duties", "--daemons", serve(fakePlatformDaemon{}))
		Expect(code).To(Equal(exitOK))
		Expect(out).To(MatchRegexp(`\s1\s+357924715\s+duty/usage\s+vm-2\s+54\s+1\.2s`))
		Expect(out).To(MatchRegexp(`engines\s+east\s+16\s+5\s+8`))
	})

	// Guards against an unknown queue time or a missing share that is shown as 0, and against
	// a daemon without an answer that hides the others.
	It("shows the admission of each daemon by service and customer", func() {
		one, two := serve(fakePlatformDaemon{}), serve(fakePlatformDaemon{})
		code, out, failed := runPlatform("load", "--daemons", one+","+two+",http://127.0.0.1:1")
		Expect(code).To(Equal(exitFailed))
		Expect(failed).To(ContainSubstring("127.0.0.1:1"))
		width := max(len(one), len(two)) // of the column, which depends on the ports
		for i, url := range []string{one, two} {
			out = strings.ReplaceAll(out, fmt.Sprintf("%-*s", width, url), fmt.Sprintf("vm-%d", i+1))
		}
		golden.Expect("platform-load.golden", strings.ReplaceAll(out, fmt.Sprintf("%-*s", width, "DAEMON"), "DAEMON"))
	})

	It("lists the hashes of keys", func() {
		code, out, _ := runPlatform("customers", "--daemons", serve(fakePlatformDaemon{}))
		Expect(code).To(Equal(exitOK))
		Expect(out).To(MatchRegexp(`koperasi\s+1329b75e367c`))
	})

	It("lists upstreams by incarnation with the VM that holds the claim on each", func() {
		code, out, _ := runPlatform("upstreams", "--daemons", serve(fakePlatformDaemon{}))
		Expect(code).To(Equal(exitOK))
		Expect(out).To(MatchRegexp(`i-1\s+engines\s+10\.0\.0\.1:80\s+east\s+leaving\s+8\s+a:2 m:6\s+vm-2\s+41`))
	})

	It("lists batches, and the samples of one batch", func() {
		daemon := serve(fakePlatformDaemon{vm: "vm-1"})
		code, out, _ := runPlatform("batches", "--daemons", daemon)
		Expect(code).To(Equal(exitOK))
		Expect(out).To(MatchRegexp(`b1\s+m\s+4\s+vm-1\s+3s\s+open\s+8\s+5\s+1\s+2`))
		code, out, _ = runPlatform("batch", "--daemons", daemon, "b1")
		Expect(code).To(Equal(exitOK))
		Expect(out).To(MatchRegexp(`s2\s+g1\s+running\s+-1\s+2\s+0\s+i-1`))
	})

	It("calls the next daemon if one doesn't answer", func() {
		code, out, _ := runPlatform("batches", "--daemons", "http://127.0.0.1:1,"+serve(fakePlatformDaemon{vm: "vm-2"}))
		Expect(code).To(Equal(exitOK))
		Expect(out).To(ContainSubstring("vm-2"))
	})

	It("prints JSON", func() {
		code, out, _ := runPlatform("batch", "--json", "--daemons", serve(fakePlatformDaemon{}), "b1")
		Expect(code).To(Equal(exitOK))
		Expect(out).To(ContainSubstring(`"upstream": "i-1"`))
	})

	DescribeTable("exits with a code for the outcome of ending a batch", func(end error, code int) {
		got, _, _ := runPlatform("end", "--daemons", serve(fakePlatformDaemon{end: end}), "b1")
		Expect(got).To(Equal(code))
	},
		Entry("done", nil, exitOK),
		Entry("unknown batch", fmt.Errorf("%w: b1", pages.ErrNotFound), exitFailed),
		Entry("the store refuses", pages.ErrNotRun, exitFailed),
		Entry("the store doesn't answer", errors.New("no answer"), exitUnknown),
	)

	It("rejects an invalid command line", func() {
		for _, args := range [][]string{{"batch"}, {"end", "a", "b"}, {"status", "--daemons", "nowhere"}, {"nothing"}} {
			code, _, _ := runPlatform(args...)
			Expect(code).To(Equal(exitUsage), fmt.Sprint(args))
		}
	})

	It("reports an unknown batch", func() {
		code, _, failed := runPlatform("batch", "--daemons", serve(fakePlatformDaemon{}), "b2")
		Expect(code).To(Equal(exitFailed))
		Expect(failed).To(ContainSubstring("b2"))
	})
})
