package infra

import (
	"io"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// The log's connections fall silent. An operator publishes a change: the store
// first reads the log's newest records on a connection that was fine a second
// ago, hears nothing, and refuses the change, though a new connection would do.
var _ = Describe("a connection that fell silent", func() {
	It("costs an immediate read no more than a second try on a new one", func(ctx SpecContext) {
		var mu sync.Mutex
		seen := map[string]bool{} // by the caller's address
		again := func(address string) bool {
			mu.Lock()
			defer mu.Unlock()
			was := seen[address]
			seen[address] = true
			return was
		}
		done := make(chan struct{})
		url := serve(func(w http.ResponseWriter, r *http.Request) {
			if again(r.RemoteAddr) {
				<-done
				return
			}
			_, _ = io.WriteString(w, `{"first":1,"next":1,"records":[]}`)
		})
		DeferCleanup(func() { close(done) }) // runs before the server waits for its handlers
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
