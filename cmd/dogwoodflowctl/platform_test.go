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

	"github.com/dogwoodflow/dogwoodflow/internal/customers"
	"github.com/dogwoodflow/dogwoodflow/internal/inspect"
	"github.com/dogwoodflow/dogwoodflow/internal/inspect/pages"
)

// recordedDaemon is a daemon on the platform with a set view.
type recordedDaemon struct {
	vm  string
	end error
}

func (d recordedDaemon) Status() inspect.Status {
	return inspect.Status{
		VM: d.vm, DataCentre: "east", Owns: []int{0, 4}, Config: inspect.Configuration{Version: 7, AgeMS: 1500, Routes: 3},
		Views: []inspect.View{{Topic: "batches", Part: 0, AgeMS: 120, InContact: true}, {Topic: "claims", AgeMS: 2300}},
	}
}

func (d recordedDaemon) Batches() []inspect.Batch {
	return []inspect.Batch{{ID: "b1", Model: "m", Part: 4, Owner: d.vm, AgeMS: 3000, Samples: 8, Completed: 5, Dead: 1, Running: 2}}
}

func (d recordedDaemon) Batch(id string) (inspect.BatchDetail, bool) {
	if id != "b1" {
		return inspect.BatchDetail{}, false
	}
	return inspect.BatchDetail{Batch: d.Batches()[0], List: []inspect.Sample{
		{ID: "s1", Group: "g1", State: "completed", Position: 3, Events: 12},
		{ID: "s2", Group: "g1", State: "running", Position: -1, Events: 2, Upstream: "i-1"},
	}}, true
}

func (d recordedDaemon) Duties() inspect.Duties {
	return inspect.Duties{Rank: 1, LastWindow: 357924715, Held: []inspect.Holder{{Duty: "duty/usage", VM: "vm-2", Fence: 54, AgeMS: 1200}},
		Servers: []inspect.Servers{{Service: "engines", DataCentre: "east", Regular: 16, Spot: 5, SpotOrdered: 8}}}
}

func (d recordedDaemon) Customers() []customers.ActiveKey {
	return []customers.ActiveKey{{Customer: "koperasi", SHA256: "1329b75e367c"}}
}

func (d recordedDaemon) Upstreams() []inspect.Upstream {
	return []inspect.Upstream{{ID: "i-1", Service: "engines", Address: "10.0.0.1:80", DataCentre: "east", Leaving: true, Slots: 8,
		Models: map[string]int64{"m": 6, "a": 2}, Holder: "vm-2", Fence: 41}}
}

func (d recordedDaemon) End(context.Context, string) error { return d.end }

var _ = Describe("platform", func() {
	serve := func(d recordedDaemon) string {
		r := mux.NewRouter()
		pages.Register(r, d, d, zerolog.Nop())
		server := httptest.NewServer(r)
		DeferCleanup(server.Close)
		return server.URL
	}
	ctl := func(args ...string) (code int, out, errors string) {
		var stdout, stderr bytes.Buffer
		code = run(context.Background(), append([]string{"platform"}, args...), strings.NewReader(""), &stdout, &stderr)
		return code, stdout.String(), stderr.String()
	}

	It("shows each daemon's view of the store and says which one doesn't answer", func() {
		one, two := serve(recordedDaemon{vm: "vm-1"}), serve(recordedDaemon{vm: "vm-2"})
		code, out, failed := ctl("status", "--daemons", one+","+two+",http://127.0.0.1:1")
		Expect(code).To(Equal(exitFailed))
		Expect(out).To(MatchRegexp(`vm-1\s+east\s+yes\s+7\s+1\.5s\s+3\s+0 4\s+2\.3s\s+claims/0`))
		Expect(out).To(ContainSubstring("vm-2"))
		Expect(failed).To(ContainSubstring("127.0.0.1:1"))
	})

	It("shows who does the duties and what servers are there", func() {
		code, out, _ := ctl("duties", "--daemons", serve(recordedDaemon{}))
		Expect(code).To(Equal(exitOK))
		Expect(out).To(MatchRegexp(`\s1\s+357924715\s+duty/usage\s+vm-2\s+54\s+1\.2s`))
		Expect(out).To(MatchRegexp(`engines\s+east\s+16\s+5\s+8`))
	})

	It("lists keys by their hashes", func() {
		code, out, _ := ctl("customers", "--daemons", serve(recordedDaemon{}))
		Expect(code).To(Equal(exitOK))
		Expect(out).To(MatchRegexp(`koperasi\s+1329b75e367c`))
	})

	It("lists upstreams by incarnation with the holder of their orders", func() {
		code, out, _ := ctl("upstreams", "--daemons", serve(recordedDaemon{}))
		Expect(code).To(Equal(exitOK))
		Expect(out).To(MatchRegexp(`i-1\s+engines\s+10\.0\.0\.1:80\s+east\s+leaving\s+8\s+a:2 m:6\s+vm-2\s+41`))
	})

	It("lists batches, and the samples of one", func() {
		daemon := serve(recordedDaemon{vm: "vm-1"})
		code, out, _ := ctl("batches", "--daemons", daemon)
		Expect(code).To(Equal(exitOK))
		Expect(out).To(MatchRegexp(`b1\s+m\s+4\s+vm-1\s+3s\s+open\s+8\s+5\s+1\s+2`))
		code, out, _ = ctl("batch", "--daemons", daemon, "b1")
		Expect(code).To(Equal(exitOK))
		Expect(out).To(MatchRegexp(`s2\s+g1\s+running\s+-1\s+2\s+0\s+i-1`))
	})

	It("moves on to the next daemon when one doesn't answer", func() {
		code, out, _ := ctl("batches", "--daemons", "http://127.0.0.1:1,"+serve(recordedDaemon{vm: "vm-2"}))
		Expect(code).To(Equal(exitOK))
		Expect(out).To(ContainSubstring("vm-2"))
	})

	It("prints JSON for programs", func() {
		code, out, _ := ctl("batch", "--json", "--daemons", serve(recordedDaemon{}), "b1")
		Expect(code).To(Equal(exitOK))
		Expect(out).To(ContainSubstring(`"upstream": "i-1"`))
	})

	DescribeTable("ends a batch", func(end error, code int) {
		got, _, _ := ctl("end", "--daemons", serve(recordedDaemon{end: end}), "b1")
		Expect(got).To(Equal(code))
	},
		Entry("done", nil, exitOK),
		Entry("unknown here", fmt.Errorf("%w: b1", pages.ErrNotFound), exitFailed),
		Entry("the store refuses", pages.ErrNotRun, exitFailed),
		Entry("no answer of the store", errors.New("no answer"), exitUnknown),
	)

	It("refuses a wrong command line", func() {
		for _, args := range [][]string{{"batch"}, {"end", "a", "b"}, {"status", "--daemons", "nowhere"}, {"nothing"}} {
			code, _, _ := ctl(args...)
			Expect(code).To(Equal(exitUsage), fmt.Sprint(args))
		}
	})

	It("says that a batch isn't known", func() {
		code, _, failed := ctl("batch", "--daemons", serve(recordedDaemon{}), "b2")
		Expect(code).To(Equal(exitFailed))
		Expect(failed).To(ContainSubstring("b2"))
	})
})
