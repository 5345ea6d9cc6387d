package log_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/standin/log"
	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

// call sends a request to the stream "config" and returns the status and the body.
func call(l *log.Log, method, query, body string) (int, wire.ReadResponse) {
	w := httptest.NewRecorder()
	l.ServeHTTP(w, httptest.NewRequest(method, "/v1/streams/config/records"+query, strings.NewReader(body)))
	var page wire.ReadResponse
	_ = json.Unmarshal(w.Body.Bytes(), &page)
	return w.Code, page
}

const oneRecord = `{"records":["eA=="]}`

func TestReadBelowRetainedCountIsGone(t *testing.T) {
	g := NewWithT(t)
	l := log.New(log.Options{KeepRecords: 3})
	for range 5 {
		status, _ := call(l, http.MethodPost, "", oneRecord)
		g.Expect(status).To(Equal(http.StatusOK))
	}
	status, page := call(l, http.MethodGet, "?from=1", "")
	g.Expect(status).To(Equal(http.StatusGone))
	g.Expect(page).To(Equal(wire.ReadResponse{First: 3, Next: 6, Records: []wire.LogRecord{}}))
	status, page = call(l, http.MethodGet, "?from=3&max=2", "")
	g.Expect(status).To(Equal(http.StatusOK))
	g.Expect(page.Records).To(HaveLen(2))
	g.Expect(page.Records[0].Offset).To(BeEquivalentTo(3))
}

func TestRecordsExpireByAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		l := log.New(log.Options{KeepFor: time.Minute})
		call(l, http.MethodPost, "", oneRecord)
		time.Sleep(50 * time.Second)
		call(l, http.MethodPost, "", oneRecord)
		time.Sleep(20 * time.Second)
		_, page := call(l, http.MethodGet, "?from=2", "")
		g.Expect(page.First).To(BeEquivalentTo(2))
		g.Expect(page.Records).To(HaveLen(1))
		time.Sleep(time.Minute)
		_, page = call(l, http.MethodGet, "?from=3", "")
		g.Expect(page.First).To(BeEquivalentTo(3))
	})
}

func TestLongPollWaitsForAppendOrTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		l := log.New(log.Options{})
		go func() {
			time.Sleep(3 * time.Second)
			call(l, http.MethodPost, "", oneRecord)
		}()
		start := time.Now()
		_, page := call(l, http.MethodGet, "?from=1&wait_ms=10000", "")
		g.Expect(page.Records).To(HaveLen(1))
		g.Expect(time.Since(start)).To(Equal(3 * time.Second))
		_, page = call(l, http.MethodGet, "?from=2&wait_ms=10000", "")
		g.Expect(page.Records).To(BeEmpty())
		g.Expect(time.Since(start)).To(Equal(13 * time.Second))
	})
}

func TestAppendsOverRateLimitAreRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		l := log.New(log.Options{AppendRate: 10, AppendBurst: 2})
		var statuses []string
		for range 3 {
			status, _ := call(l, http.MethodPost, "", oneRecord)
			statuses = append(statuses, fmt.Sprint(status))
		}
		g.Expect(statuses).To(Equal([]string{"200", "200", "429"}))
		time.Sleep(100 * time.Millisecond)
		status, _ := call(l, http.MethodPost, "", oneRecord)
		g.Expect(status).To(Equal(http.StatusOK))
	})
}
