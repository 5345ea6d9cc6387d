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

var patient = Options{Timeout: time.Minute, MaxBodyBytes: 4 << 10}

func serve(handle http.HandlerFunc) string {
	server := httptest.NewServer(handle)
	DeferCleanup(server.Close)
	return server.URL
}

// log returns a log that is answered by handle.
func log(handle http.HandlerFunc) *HTTPLog {
	l, err := NewHTTPLog(serve(handle)+"/base/", patient)
	Expect(err).NotTo(HaveOccurred())
	return l
}

func says(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// story: The log appends a claim and its answer is lost. The daemon believes that
// nothing happened and appends again, or, the other way round, holds a claim that
// the log refused. Cause: a failed call was taken for a call that didn't happen.
var _ = Describe("Append", func() {
	one := [][]byte{[]byte("x")}

	It("sends all records in one call and returns the first offset", func(ctx SpecContext) {
		arrived := make(chan string, 1)
		l := log(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			arrived <- r.URL.Path + " " + string(body)
			_, _ = io.WriteString(w, `{"offset":5}`)
		})
		Expect(l.Append(ctx, "claims", [][]byte{{0, 255}, {}})).To(BeEquivalentTo(5))
		Expect(<-arrived).To(Equal(`/base/v1/streams/claims/records {"records":["AP8=",""]}`))
	})

	DescribeTable("tells what is known", func(ctx SpecContext, handle http.HandlerFunc, want error) {
		var calls atomic.Int32
		l := log(func(w http.ResponseWriter, r *http.Request) {
			calls.Add(1)
			handle(w, r)
		})
		_, err := l.Append(ctx, "claims", one)
		Expect(err).To(MatchError(want))
		Expect(calls.Load()).To(BeEquivalentTo(1), "never sent again")
	},
		Entry("refused", says(503, ""), ErrUnavailable),
		Entry("too many calls", says(429, ""), ErrUnavailable),
		Entry("failed somewhere", says(500, ""), ErrUnknown),
		Entry("lost behind a gateway", says(504, ""), ErrUnknown),
		Entry("not readable", says(200, "{"), ErrUnknown),
		Entry("no offset", says(200, "{}"), ErrUnknown),
		Entry("answer lost", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			panic(http.ErrAbortHandler)
		}), ErrUnknown),
		Entry("answer cut", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "50")
			_, _ = io.WriteString(w, `{"offset":5}`)
		}), ErrUnknown),
	)

	It("is unavailable when nobody listens, or without records", func(ctx SpecContext) {
		l, err := NewHTTPLog("http://127.0.0.1:1", patient)
		Expect(err).NotTo(HaveOccurred())
		for _, records := range [][][]byte{one, nil} {
			_, err = l.Append(ctx, "claims", records)
			Expect(err).To(MatchError(ErrUnavailable))
		}
	})
})

var _ = Describe("Read", func() {
	read := func(ctx context.Context, handle http.HandlerFunc) (Page, error) {
		return log(handle).Read(ctx, "config", 3, 10, time.Second)
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

	It("says from where on records are kept", func(ctx SpecContext) {
		page, err := read(ctx, says(410, `{"first":9,"next":12}`))
		Expect(err).To(MatchError(ErrExpired))
		Expect(page.First).To(BeEquivalentTo(9))
	})

	DescribeTable("refuses", func(ctx SpecContext, status int, body string) {
		_, err := read(ctx, says(status, body))
		Expect(err).To(MatchError(ErrUnavailable))
	},
		Entry("an error", 500, ""),
		Entry("410 for what is kept", 410, `{"first":3,"next":12}`),
		Entry("a gap", 200, `{"first":1,"next":9,"records":[{"offset":3},{"offset":5}]}`),
		Entry("a start elsewhere", 200, `{"first":1,"next":9,"records":[{"offset":4}]}`),
		Entry("a record past the end", 200, `{"first":1,"next":3,"records":[{"offset":3}]}`),
	)

	It("asks for less when the page is too large", func(ctx SpecContext) {
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

var _ = Describe("the lists", func() {
	DescribeTable("of versions", func(ctx SpecContext, status int, body string, want []ident.Version, fails bool) {
		s, err := NewHTTPWeightStore(serve(says(status, body)), patient)
		Expect(err).NotTo(HaveOccurred())
		got, err := s.Versions(ctx, "m/1")
		Expect(got).To(Equal(want))
		Expect(errors.Is(err, ErrUnavailable)).To(Equal(fails))
	},
		Entry("whole", 200, `{"versions":[1,4]}`, []ident.Version{1, 4}, false),
		Entry("out of order", 200, `{"versions":[4,1]}`, nil, true),
		Entry("refused", 429, ``, nil, true),
		Entry("too long", 200, strings.Repeat(" ", 5<<10), nil, true),
	)

	It("of VMs skips roles that it doesn't know", func(ctx SpecContext) {
		l, err := NewHTTPVMLister(serve(says(200, `{"vms":[{"name":"a","role":"entry","data_centre":"d","peer_address":"10.0.0.1:1"},{"name":"b","role":"upstream","leaving":true},{"name":"c","role":"new"}]}`)), patient)
		Expect(err).NotTo(HaveOccurred())
		Expect(l.List(ctx)).To(Equal([]VMEntry{
			{Name: "a", Entry: true, DataCentre: "d", PeerAddress: "10.0.0.1:1"}, {Name: "b", Leaving: true},
		}))
	})

	It("need a base URL of the right form", func() {
		for _, base := range []string{"", "10.0.0.1:7000", "https://a", "http://", "http://a?b"} {
			_, err := NewHTTPVMLister(base, patient)
			Expect(err).To(HaveOccurred(), base)
		}
	})
})

// story: The connection to the log goes silent while new ones work. The reader
// waits for ever and the daemon acts on old configuration. Cause: a long poll
// that nobody bounds can't be told from a dead connection. (synctest's clock.)
func TestSilentLog(t *testing.T) {
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
		var both sync.WaitGroup
		for range 2 {
			both.Go(func() { g.Expect(read()).To(Succeed()) })
		}
		both.Wait()
		start := time.Now()
		g.Expect(read()).To(MatchError(ErrUnavailable))
		g.Expect(time.Since(start)).To(Equal(9*time.Second + DefaultTimeout))
		g.Expect(dials.Load()).To(BeEquivalentTo(2), "it was a reused connection")
		g.Expect(read()).To(Succeed(), "it didn't meet the other one")

		_, err = l.Append(t.Context(), "config", [][]byte{{1}})
		g.Expect(err).To(MatchError(ErrUnknown), "its answer isn't one to an append")
		g.Expect(dials.Load()).To(BeEquivalentTo(4))
		l.client.sender.CloseIdle()
	})
}

// answerOnce answers a connection's first request after a second and is silent from then on.
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
		page, err := readPage(answer{status: status, body: []byte(body)}, ident.Offset(from), limit)
		if errors.Is(err, ErrExpired) && int64(page.First) <= from {
			t.Fatalf("expired, yet %+v from %d", page, from)
		}
		if err != nil && (page.Records != nil || !errors.Is(err, ErrExpired) && !errors.Is(err, ErrUnavailable)) {
			t.Fatalf("%v with %+v", err, page)
		}
		if len(page.Records) > limit {
			t.Fatalf("%d records", len(page.Records))
		}
		for i, r := range page.Records {
			if int64(r.Offset) != max(from, 1)+int64(i) || r.Offset >= page.Next {
				t.Fatalf("record %d is %d", i, r.Offset)
			}
		}
	})
}
