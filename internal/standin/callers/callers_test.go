package callers_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/standin/callers"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/engine"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/fault"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/host"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/service"
	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

func TestCallers(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "callers")
}

var _ = Describe("callers", func() {
	var (
		bookings *service.Service
		faults   *fault.Injector // between the callers and the daemon
		options  callers.Options
		// repeats is how often the daemon played here runs each service call.
		repeats int
	)

	BeforeEach(func() {
		repeats = 1
		bookings = service.New(service.Options{})
		faults = fault.New()
		e := engine.New(engine.Options{Models: map[string]int64{"drafts": 1}, TokenTime: 100 * time.Microsecond})
		DeferCleanup(e.Close)
		daemon := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch {
			case r.URL.Path == "/readyz":
			case strings.HasPrefix(r.URL.Path, "/v1/"):
				e.ServeHTTP(w, r)
			default:
				body, err := io.ReadAll(r.Body)
				Expect(err).NotTo(HaveOccurred())
				for range repeats - 1 {
					r.Body = io.NopCloser(bytes.NewReader(body))
					bookings.ServeHTTP(discard{}, r)
				}
				r.Body = io.NopCloser(bytes.NewReader(body))
				bookings.ServeHTTP(w, r)
			}
		})
		server, err := host.Start("127.0.0.1:0", daemon, faults)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		options = callers.Options{
			Daemons: []string{server.URL}, Seed: 1, Calls: 200, Model: "drafts",
			CompletionShare: 0.5, StreamShare: 0.5, ChatShare: 0.5,
			ServicePath: "/book", IdempotentPath: "/find", KeyedShare: 0.5,
		}
	})

	run := func() *callers.Result {
		result := callers.Run(context.Background(), options)
		result.Verify([]service.Counts{bookings.Counts()})
		return result
	}

	It("take right answers, in a closed and in an open loop", func() {
		for _, rate := range []float64{0, 2000} {
			options.Rate = rate
			options.Seed++
			result := run()
			Expect(result.Calls).To(Equal(200))
			Expect(result.Answers).To(Equal(200), "%v", result.ByReason)
			Expect(result.Verified.OK()).To(BeTrue())
			Expect(result.Latency).To(HaveLen(5))
		}
	})

	It("notice answers that end early, streamed or whole", func() {
		Expect(faults.Add(fault.Spec{Kind: fault.EndEarly, Match: "POST"})).To(Succeed())
		result := run()
		Expect(result.Answers).To(BeZero())
		Expect(result.Wrong + result.Failed).To(Equal(200))
	})

	It("notice crossed answers", func() {
		options.CompletionShare = 1
		Expect(faults.Add(fault.Spec{Kind: fault.Crossed, Match: "POST", Count: 2, Value: 60_000})).To(Succeed())
		Expect(run().Wrong).To(Equal(2))
	})

	It("notice a call that may not be repeated and was executed twice", func() {
		repeats = 2
		result := run()
		Expect(result.Wrong).To(BeZero())
		Expect(result.Verified.Doubled).To(BeNumerically(">", 0))
	})

	It("notice a refusal as not run that isn't true", func() {
		options.CompletionShare = 0
		lie := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/readyz" {
				return
			}
			bookings.ServeHTTP(discard{}, r)
			host.WriteJSON(w, http.StatusServiceUnavailable, map[string]string{"outcome": "not run"})
		})
		server, err := host.Start("127.0.0.1:0", lie, fault.New())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		options.Daemons = []string{server.URL}
		result := run()
		Expect(result.Verified.FalseNotRun).To(Equal(200))
		Expect(result.Verified.LiedAttempts).To(Equal(result.Verified.Refused))
		Expect(result.Verified.Refused).To(BeNumerically(">=", 200))
	})

	It("notice a completion refused as not run that an engine ran, and a missing Retry-After", func() {
		e := engine.New(engine.Options{Models: map[string]int64{"drafts": 1}, TokenTime: 100 * time.Microsecond})
		DeferCleanup(e.Close)
		ids := 0
		lie := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/readyz" {
				return
			}
			ids++
			id := fmt.Sprint("request-", ids)
			r.Header.Set(wire.HeaderRequestID, id)
			e.ServeHTTP(discard{}, r)
			w.Header().Set(wire.HeaderRequestID, id)
			host.WriteJSON(w, http.StatusServiceUnavailable, map[string]string{"outcome": "not run"})
		})
		server, err := host.Start("127.0.0.1:0", lie, fault.New())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		options.Daemons, options.CompletionShare, options.Calls = []string{server.URL}, 1, 20
		options.Concurrency, options.Resends = 1, 0
		result := run()
		Expect(result.Refusals["503"]).To(HaveField("NoRetryAfter", 20))
		counts := httptest.NewRecorder()
		e.ServeHTTP(counts, httptest.NewRequest(http.MethodGet, "/counts", nil))
		var ran engine.Counts
		Expect(json.Unmarshal(counts.Body.Bytes(), &ran)).To(Succeed())
		result.VerifyEngines([]engine.Counts{ran})
		Expect(result.Verified.LiedAttempts).To(Equal(20))
	})

	// A daemon without claims runs both of a twin's attempts; a caller whose second
	// one was answered would never notice.
	It("notice that a key sent twice at the same moment was executed twice", func() {
		options.CompletionShare, options.KeyedShare, options.IdempotentPath = 0, 1, ""
		Expect(run().Verified.OK()).To(BeTrue())
		options.TwinShare, options.Seed = 1, 2
		result := run()
		Expect(result.Verified.Doubled).To(Equal(200))
		Expect(result.Answers).To(Equal(200))
	})
})

// discard is an answer that nobody reads.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(p []byte) (int, error) { return len(p), nil }
func (discard) WriteHeader(int)             {}
