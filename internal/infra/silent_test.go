package infra

import (
	"io"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// The connections to the log die silently. An operator publishes a configuration change, for
// which the log's newest records are read first, on a connection that worked a second ago. If
// the read failed because that connection is dead, the change would be refused although a new
// connection would work.
var _ = Describe("a read without a wait on a dead connection", func() {
	It("is sent again on a new connection", func(ctx SpecContext) {
		var mu sync.Mutex
		seen := map[string]bool{} // addresses of the clients that sent a request
		seenBefore := func(address string) bool {
			mu.Lock()
			defer mu.Unlock()
			before := seen[address]
			seen[address] = true
			return before
		}
		done := make(chan struct{})
		url := startServer(func(w http.ResponseWriter, r *http.Request) {
			if seenBefore(r.RemoteAddr) {
				<-done
				return
			}
			_, _ = io.WriteString(w, `{"first":1,"next":1,"records":[]}`)
		})
		DeferCleanup(func() { close(done) }) // before the cleanup that waits for the handlers
		l, err := NewHTTPLog(url, Options{Timeout: 4 * time.Second})
		Expect(err).NotTo(HaveOccurred())
		for range 2 {
			_, err := l.Read(ctx, StreamConfig, 1, 10, 0)
			Expect(err).NotTo(HaveOccurred())
		}
		mu.Lock()
		defer mu.Unlock()
		Expect(seen).To(HaveLen(2))
	})
})
