package upstream

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

// Guards against a caller that reads a part of another request's response. It happens if a
// connection is returned to the pool with unread data: because the caller left, the stream was
// truncated, or the engine sent more than one response.
var _ = Describe("thousands of concurrent requests", func() {
	It("each get their own response or an error", func(ctx SpecContext) {
		const callers, rounds = 2000, 3
		t := startUpstream(respondFiveTimes)
		c := New(withoutTimeouts)
		var complete, failed, wrong, expectedFailures atomic.Int64
		var wg sync.WaitGroup
		for i := range callers {
			wg.Go(func() {
				for round := range rounds {
					id := fmt.Sprintf("%d-%d", i, round)
					if isAborted(id) {
						expectedFailures.Add(1)
					}
					got, err := ask(ctx, c, t, id, i%3)
					switch {
					case err != nil:
						failed.Add(1)
					case got == strings.Repeat(id+";", 5):
						complete.Add(1)
					default:
						wrong.Add(1)
					}
				}
			})
		}
		wg.Wait()
		Expect(wrong.Load()).To(BeZero())
		Expect(failed.Load()).To(Equal(expectedFailures.Load()), "exactly the responses that the engine aborted must fail")
		Expect(complete.Load()).To(Equal(callers*rounds - expectedFailures.Load()))
	})
})

// isAborted reports whether the upstream aborts the response to the request id.
func isAborted(id string) bool { return strings.HasSuffix(id, "7-1") }

// ask sends a request and returns the text of the response. kind is 0 for a generation, 1 for a
// call and 2 for a call that must not run twice.
func ask(ctx SpecContext, c *Client, t Target, id string, kind int) (string, error) {
	if kind > 0 {
		r, err := c.Call(ctx, t, ServiceRequest{ID: ident.RequestID(id), Method: "POST", Path: "/call", Body: []byte(id), NeverRetry: kind == 2})
		if err != nil {
			return "", err
		}
		return string(r.Body), nil
	}
	var text strings.Builder
	err := c.Generate(ctx, t, GenerateRequest{ID: ident.RequestID(id)}, func(chunk Chunk) error {
		text.WriteString(chunk.Text)
		return nil
	})
	return text.String(), err
}

// respondFiveTimes responds with five copies of the request ID and aborts some responses.
func respondFiveTimes(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(wire.HeaderRequestID)
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set(wire.HeaderRequestID, id)
	write, endMarker := func() { _, _ = io.WriteString(w, id+";") }, ""
	if r.URL.Path != "/call" {
		w.Header().Set("Content-Type", "text/event-stream")
		write, endMarker = func() { writeChunk(w, id, id+";") }, "data: [DONE]\n\n"
	}
	for n := range 5 {
		if n == 3 && isAborted(id) {
			panic(http.ErrAbortHandler)
		}
		write()
		w.(http.Flusher).Flush()
	}
	_, _ = io.WriteString(w, endMarker)
}

func writeChunk(w io.Writer, id, text string) {
	data, _ := json.Marshal(wire.GenerateChunk{ID: id, Choices: []wire.Choice{{Text: text}}, Tokens: 1, WeightVersion: 3})
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
}
