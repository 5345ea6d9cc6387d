package infra

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

func TestInfra(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "infra")
}

var testOptions = Options{Timeout: time.Minute, MaxBodyBytes: 4 << 10}

// startServer starts an HTTP server for the duration of the spec and returns its URL.
func startServer(handle http.HandlerFunc) string {
	server := httptest.NewServer(handle)
	DeferCleanup(server.Close)
	return server.URL
}

// newTestLog returns a log whose calls are handled by handle.
func newTestLog(handle http.HandlerFunc) *HTTPLog {
	l, err := NewHTTPLog(startServer(handle)+"/base/", testOptions)
	Expect(err).NotTo(HaveOccurred())
	return l
}

// respond returns a handler that always returns the given response.
func respond(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// The log appends a claim and the response is lost. If the daemon treated every failed
// call as one without effect, it would append the claim again. If it never did, it would hold a
// claim that the log refused.
var _ = Describe("Append", func() {
	oneRecord := [][]byte{[]byte("x")}

	It("sends all records in one call and returns the first offset", func(ctx SpecContext) {
		received := make(chan string, 1)
		l := newTestLog(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			received <- r.URL.Path + " " + string(body)
			_, _ = io.WriteString(w, `{"offset":5}`)
		})
		Expect(l.Append(ctx, "claims", [][]byte{{0, 255}, {}})).To(BeEquivalentTo(5))
		Expect(<-received).To(Equal(`/base/v1/streams/claims/records {"records":["AP8=",""]}`))
	})

	DescribeTable("distinguishes a refusal from an unknown outcome", func(ctx SpecContext, handle http.HandlerFunc, want error) {
		var calls atomic.Int32
		l := newTestLog(func(w http.ResponseWriter, r *http.Request) {
			calls.Add(1)
			handle(w, r)
		})
		_, err := l.Append(ctx, "claims", oneRecord)
		Expect(err).To(MatchError(want))
		Expect(calls.Load()).To(BeEquivalentTo(1), "calls, no retry")
	},
		Entry("refused", respond(503, ""), ErrUnavailable),
		Entry("status 429", respond(429, ""), ErrUnavailable),
		Entry("status 500", respond(500, ""), ErrUnknown),
		Entry("status 504 from a proxy", respond(504, ""), ErrUnknown),
		Entry("malformed JSON", respond(200, "{"), ErrUnknown),
		Entry("response without an offset", respond(200, "{}"), ErrUnknown),
		Entry("connection closed before the response", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			panic(http.ErrAbortHandler)
		}), ErrUnknown),
		Entry("answer cut", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "50")
			_, _ = io.WriteString(w, `{"offset":5}`)
		}), ErrUnknown),
	)

	It("returns ErrUnavailable if the connection is refused or there are no records", func(ctx SpecContext) {
		l, err := NewHTTPLog("http://127.0.0.1:1", testOptions)
		Expect(err).NotTo(HaveOccurred())
		for _, records := range [][][]byte{oneRecord, nil} {
			_, err = l.Append(ctx, "claims", records)
			Expect(err).To(MatchError(ErrUnavailable))
		}
	})
})

var _ = Describe("Read", func() {
	read := func(ctx context.Context, handle http.HandlerFunc) (Page, error) {
		return newTestLog(handle).Read(ctx, "config", 3, 10, time.Second)
	}

	It("returns a page", func(ctx SpecContext) {
		query := make(chan string, 1)
		page, err := read(ctx, func(w http.ResponseWriter, r *http.Request) {
			query <- r.URL.RawQuery
			_, _ = io.WriteString(w, `{"first":2,"next":5,"records":[{"offset":3,"unix_millis":7,"data":"eA=="},{"offset":4}]}`)
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(<-query).To(Equal("from=3&max=10&wait_ms=1000"))
		Expect(page).To(Equal(Page{First: 2, Next: 5, Records: []Record{
			{Offset: 3, Time: time.UnixMilli(7), Data: []byte("x")}, {Offset: 4, Time: time.UnixMilli(0)},
		}}))
	})

	It("returns the oldest offset that is kept if the requested one is past the retention", func(ctx SpecContext) {
		page, err := read(ctx, respond(410, `{"first":9,"next":12}`))
		Expect(err).To(MatchError(ErrExpired))
		Expect(page.First).To(BeEquivalentTo(9))
	})

	DescribeTable("returns ErrUnavailable for", func(ctx SpecContext, status int, body string) {
		_, err := read(ctx, respond(status, body))
		Expect(err).To(MatchError(ErrUnavailable))
	},
		Entry("status 500", 500, ""),
		Entry("status 410 for an offset that is kept", 410, `{"first":3,"next":12}`),
		Entry("a gap between records", 200, `{"first":1,"next":9,"records":[{"offset":3},{"offset":5}]}`),
		Entry("a first record with another offset", 200, `{"first":1,"next":9,"records":[{"offset":4}]}`),
		Entry("a record past the end of the stream", 200, `{"first":1,"next":3,"records":[{"offset":3}]}`),
	)

	It("asks for fewer records if the page is too large", func(ctx SpecContext) {
		page, err := read(ctx, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Query().Get("max") != "2" {
				_, _ = io.WriteString(w, strings.Repeat(" ", 5<<10))
			}
			_, _ = io.WriteString(w, `{"first":1,"next":9,"records":[{"offset":3},{"offset":4}]}`)
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Records).To(HaveLen(2))
	})
})

var _ = Describe("HTTPWeightStore and HTTPVMLister", func() {
	DescribeTable("the list of versions", func(ctx SpecContext, status int, body string, want []ident.Version, fails bool) {
		s, err := NewHTTPWeightStore(startServer(respond(status, body)), testOptions)
		Expect(err).NotTo(HaveOccurred())
		got, err := s.Versions(ctx, "m/1")
		Expect(got).To(Equal(want))
		Expect(errors.Is(err, ErrUnavailable)).To(Equal(fails))
	},
		Entry("whole", 200, `{"versions":[1,4]}`, []ident.Version{1, 4}, false),
		Entry("out of order", 200, `{"versions":[4,1]}`, nil, true),
		Entry("refused", 429, ``, nil, true),
		Entry("body too large", 200, strings.Repeat(" ", 5<<10), nil, true),
	)

	It("omits VMs with unknown roles", func(ctx SpecContext) {
		l, err := NewHTTPVMLister(startServer(respond(200, `{"vms":[{"name":"a","role":"entry","data_centre":"d","peer_address":"10.0.0.1:1"},{"name":"b","role":"upstream","leaving":true},{"name":"c","role":"new"}]}`)), testOptions)
		Expect(err).NotTo(HaveOccurred())
		Expect(l.List(ctx)).To(Equal([]VMEntry{
			{Name: "a", Entry: true, DataCentre: "d", PeerAddress: "10.0.0.1:1"}, {Name: "b", Leaving: true},
		}))
	})

	It("require an absolute HTTP base URL without a query", func() {
		for _, base := range []string{"", "10.0.0.1:7000", "https://a", "http://", "http://a?b"} {
			_, err := NewHTTPVMLister(base, testOptions)
			Expect(err).To(HaveOccurred(), base)
		}
	})
})

// The connection to the log dies silently while new connections work. A long poll without a
// timeout can't be told from a dead connection, so the reader would wait forever and the daemon
// would act on old configuration. The test runs on synctest's clock.
func TestDeadLogConnectionTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var dials atomic.Int32
		l, err := NewHTTPLog("http://127.0.0.1:1", Options{Dial: func(context.Context, string, string) (net.Conn, error) {
			dials.Add(1)
			client, server := net.Pipe()
			go answerOnce(server)
			return client, nil
		}})
		g.Expect(err).NotTo(HaveOccurred())
		read := func() error {
			_, err := l.Read(t.Context(), "config", 1, 10, 9*time.Second)
			return err
		}
		var readers sync.WaitGroup
		for range 2 {
			readers.Go(func() { g.Expect(read()).To(Succeed()) })
		}
		readers.Wait()
		start := time.Now()
		g.Expect(read()).To(MatchError(ErrUnavailable))
		g.Expect(time.Since(start)).To(Equal(9*time.Second + DefaultTimeout))
		g.Expect(dials.Load()).To(BeEquivalentTo(2), "dials, since the read reused a connection")
		g.Expect(read()).To(Succeed(), "the other dead connection isn't used")

		_, err = l.Append(t.Context(), "config", [][]byte{{1}})
		g.Expect(err).To(MatchError(ErrUnknown), "the response isn't one to an append")
		g.Expect(dials.Load()).To(BeEquivalentTo(4))
		l.client.sender.CloseIdle()
	})
}

// answerOnce responds to the first request on a connection after one second, and to no other.
func answerOnce(conn net.Conn) {
	in := bufio.NewReader(conn)
	req, err := http.ReadRequest(in)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	time.Sleep(time.Second)
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{\"first\":1,\"next\":1}")
	_, _ = io.Copy(io.Discard, in)
}

func FuzzReadResponse(f *testing.F) {
	f.Add(200, int64(3), `{"first":1,"next":5,"records":[{"offset":3,"data":"eA=="},{"offset":4}]}`)
	f.Add(200, int64(0), `{"first":0,"next":1,"records":[]}`)
	f.Add(410, int64(3), `{"first":9,"next":12}`)
	f.Add(200, int64(-1), `{"first":-1,"next":9223372036854775807,"records":[{"offset":9223372036854775807}]}`)
	f.Add(503, int64(1), `down`)
	f.Fuzz(func(t *testing.T, status int, from int64, body string) {
		const limit = 8
		page, err := readPage(response{status: status, body: []byte(body)}, ident.Offset(from), limit)
		if errors.Is(err, ErrExpired) && int64(page.First) <= from {
			t.Fatalf("ErrExpired with page %+v for offset %d", page, from)
		}
		if err != nil && (page.Records != nil || !errors.Is(err, ErrExpired) && !errors.Is(err, ErrUnavailable)) {
			t.Fatalf("error %v with page %+v", err, page)
		}
		if len(page.Records) > limit {
			t.Fatalf("%d records are more than the limit", len(page.Records))
		}
		for i, r := range page.Records {
			if int64(r.Offset) != max(from, 1)+int64(i) || r.Offset >= page.Next {
				t.Fatalf("record %d has offset %d", i, r.Offset)
			}
		}
	})
}
