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

// story: Under load one caller reads the end of its neighbour's answer. Cause: a
// connection went back to the pool with an answer still on it, because its
// caller left, its stream was cut, or its engine sent more than one answer.
var _ = Describe("thousands of callers at once", func() {
	It("each get their own answer or a failure", func(ctx SpecContext) {
		const callers, rounds = 2000, 3
		t := serve(crowded)
		c := New(patient)
		var whole, failed, wrong, broke atomic.Int64
		var all sync.WaitGroup
		for i := range callers {
			all.Go(func() {
				for round := range rounds {
					id := fmt.Sprintf("%d-%d", i, round)
					if broken(id) {
						broke.Add(1)
					}
					got, err := ask(ctx, c, t, id, i%3)
					switch {
					case err != nil:
						failed.Add(1)
					case got == strings.Repeat(id+";", 5):
						whole.Add(1)
					default:
						wrong.Add(1)
					}
				}
			})
		}
		all.Wait()
		Expect(wrong.Load()).To(BeZero())
		Expect(failed.Load()).To(Equal(broke.Load()), "just those that the engine broke")
		Expect(whole.Load()).To(Equal(callers*rounds - broke.Load()))
	})
})

// broken says whether the engine breaks the answer of this id off.
func broken(id string) bool { return strings.HasSuffix(id, "7-1") }

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

// crowded answers with the request's id five times, and breaks some answers off.
func crowded(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(wire.HeaderRequestID)
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set(wire.HeaderRequestID, id)
	write, end := func() { _, _ = io.WriteString(w, id+";") }, ""
	if r.URL.Path != "/call" {
		w.Header().Set("Content-Type", "text/event-stream")
		write, end = func() { writeChunk(w, id, id+";") }, "data: [DONE]\n\n"
	}
	for n := range 5 {
		if n == 3 && broken(id) {
			panic(http.ErrAbortHandler)
		}
		write()
		w.(http.Flusher).Flush()
	}
	_, _ = io.WriteString(w, end)
}

func writeChunk(w io.Writer, id, text string) {
	data, _ := json.Marshal(wire.GenerateChunk{ID: id, Choices: []wire.Choice{{Text: text}}, Tokens: 1, WeightVersion: 3})
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
}
