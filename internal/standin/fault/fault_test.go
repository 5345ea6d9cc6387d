package fault_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/standin/fault"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/host"
	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

func TestFault(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fault")
}

var _ = Describe("a stand-in server with injected faults", func() {
	var (
		faults *fault.Injector
		server *host.Server
		runs   atomic.Int32 // executed requests
		client *http.Client
	)

	BeforeEach(func() {
		runs.Store(0)
		faults = fault.New()
		echo := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			runs.Add(1)
			body, _ := io.ReadAll(r.Body)
			w.Header().Set(wire.HeaderRequestID, r.Header.Get(wire.HeaderRequestID))
			_, _ = w.Write(body)
		})
		var err error
		server, err = host.Start("127.0.0.1:0", echo, faults)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		client = &http.Client{Transport: &http.Transport{}}
		DeferCleanup(client.CloseIdleConnections)
	})

	// call sends a request and returns the response and its body.
	call := func(id, body string) (*http.Response, string, error) {
		request, err := http.NewRequest(http.MethodPost, server.URL+"/x", strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		request.Header.Set(wire.HeaderRequestID, id)
		response, err := client.Do(request)
		if err != nil {
			return nil, "", err
		}
		defer response.Body.Close()
		raw, err := io.ReadAll(response.Body)
		return response, string(raw), err
	}

	// setFault adds a fault through the HTTP API, on a connection of its own.
	setFault := func(s fault.Spec) {
		raw, err := json.Marshal(s)
		Expect(err).NotTo(HaveOccurred())
		oneShot := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		response, err := oneShot.Post(server.URL+fault.Path, "application/json", bytes.NewReader(raw))
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		Expect(response.StatusCode).To(Equal(http.StatusNoContent))
	}

	It("affects only matching requests, and only Count of them", func() {
		setFault(fault.Spec{Kind: fault.Refuse, Match: "bad", Count: 1})
		response, _, err := call("1", "good")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		response, _, err = call("2", "bad")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(response.Header.Get(wire.HeaderNotRun)).To(Equal("true"))
		Expect(runs.Load()).To(BeEquivalentTo(1))
		_, body, err := call("3", "bad")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("bad"))
	})

	It("resets the connection before the request is executed", func() {
		setFault(fault.Spec{Kind: fault.Reset, Count: 1})
		_, _, err := call("1", "x")
		Expect(err).To(MatchError(syscall.ECONNRESET))
		Expect(runs.Load()).To(BeZero())
	})

	It("executes the request and resets the connection without a response", func() {
		setFault(fault.Spec{Kind: fault.AnswerLost, Count: 1})
		_, _, err := call("1", "x")
		Expect(err).To(MatchError(syscall.ECONNRESET))
		Expect(runs.Load()).To(BeEquivalentTo(1))
	})

	It("breaks off a body by a reset or a close", func() {
		for _, kind := range []fault.Kind{fault.ResetBody, fault.Truncate} {
			setFault(fault.Spec{Kind: kind, Count: 1, Value: 3})
			_, body, err := call("1", "abcdef")
			Expect(err).To(HaveOccurred(), string(kind))
			Expect("abc").To(HavePrefix(body))
		}
	})

	It("ends a body early without an error for the client", func() {
		setFault(fault.Spec{Kind: fault.EndEarly, Count: 1, Value: 3})
		_, body, err := call("1", "abcdef")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("abc"))
	})

	// Two clients send a request at the same time. Each gets a well-formed response
	// without delay, but that of the other request, with its id.
	It("swaps two concurrent responses", func() {
		setFault(fault.Spec{Kind: fault.Crossed, Count: 2, Value: 60_000})
		got := map[string]string{}
		var mu sync.Mutex
		var calls sync.WaitGroup
		for _, id := range []string{"a", "b"} {
			calls.Go(func() {
				response, body, err := call(id, "body of "+id)
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					got[id] = response.Header.Get(wire.HeaderRequestID) + ": " + body
				}
			})
		}
		calls.Wait()
		Expect(got).To(Equal(map[string]string{"a": "b: body of b", "b": "a: body of a"}))
	})

	// The next request on an open connection gets neither a response nor an error, while
	// new connections work.
	It("silences only the connections that are open", func() {
		_, _, err := call("1", "x")
		Expect(err).NotTo(HaveOccurred())
		setFault(fault.Spec{Kind: fault.Silence})
		results := make(chan error, 1)
		go func() {
			_, _, err := call("2", "x")
			results <- err
		}()
		oneShot := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		for range 20 {
			response, err := oneShot.Post(server.URL+"/x", "", strings.NewReader("y"))
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Body.Close()).To(Succeed())
		}
		Expect(results).NotTo(Receive())
		Expect(runs.Load()).To(BeEquivalentTo(21))
		server.Close()
		Eventually(results).Should(Receive(HaveOccurred()))
	})

	It("closes the listener and all connections on a crash", func() {
		setFault(fault.Spec{Kind: fault.Crash, Match: "poison"})
		_, _, err := call("1", "poison")
		Expect(err).To(HaveOccurred())
		_, _, err = call("2", "good")
		Expect(err).To(HaveOccurred())
		Expect(faults.CrashCount()).To(Equal(1))
		Expect(runs.Load()).To(BeZero())
	})

	It("rejects an unknown kind and a freeze without a duration", func() {
		Expect(faults.Add(fault.Spec{Kind: "gremlin"})).NotTo(Succeed())
		Expect(faults.Add(fault.Spec{Kind: fault.Freeze})).NotTo(Succeed())
	})
})
