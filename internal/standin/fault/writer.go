package fault

import (
	"context"
	"net/http"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

// abort ends the connection in the middle of what it was doing, by a reset or
// a plain close. It doesn't return.
func abort(w http.ResponseWriter, reset bool) {
	raw, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		if c, ok := raw.(*conn); ok && reset {
			c.setReset()
		}
		_ = raw.Close()
	}
	panic(http.ErrAbortHandler)
}

// cutWriter passes on left bytes of body. Then it calls end, which doesn't
// return, or, without one, swallows the rest.
type cutWriter struct {
	http.ResponseWriter
	left  int
	end   func()
	begun bool
}

func (c *cutWriter) WriteHeader(status int) {
	c.begun = true
	if c.end == nil {
		// A declared length would turn the clean end into a broken one.
		c.Header().Del("Content-Length")
	}
	c.ResponseWriter.WriteHeader(status)
}

func (c *cutWriter) Write(p []byte) (int, error) {
	if !c.begun {
		c.WriteHeader(http.StatusOK)
	}
	pass := min(len(p), c.left)
	c.left -= pass
	if _, err := c.ResponseWriter.Write(p[:pass]); err != nil {
		return 0, err
	}
	if c.left == 0 && c.end != nil {
		c.Flush()
		c.end()
	}
	return len(p), nil
}

// Flush implements http.Flusher.
func (c *cutWriter) Flush() { _ = http.NewResponseController(c.ResponseWriter).Flush() }

// recorded is a whole answer, kept to be sent later or to somebody else.
type recorded struct {
	header http.Header
	status int
	body   []byte
}

// record runs a request to its end, also when its caller goes away meanwhile.
func record(next http.Handler, r *http.Request) *recorded {
	kept := &recorded{header: http.Header{}, status: http.StatusOK}
	next.ServeHTTP(kept, r.WithContext(context.WithoutCancel(r.Context())))
	return kept
}

func (k *recorded) Header() http.Header    { return k.header }
func (k *recorded) WriteHeader(status int) { k.status = status }
func (k *recorded) Flush()                 {}
func (k *recorded) Write(p []byte) (int, error) {
	k.body = append(k.body, p...)
	return len(p), nil
}

func (k *recorded) writeTo(w http.ResponseWriter) {
	for name, values := range k.header {
		w.Header()[name] = values
	}
	w.WriteHeader(k.status)
	_, _ = w.Write(k.body)
}

// exchange is one side of a swap: its own answer, and where the other's goes.
type exchange struct {
	mine  *recorded
	other chan *recorded
}

// cross swaps this answer with the next one that is to be crossed. Without a
// partner it goes out under a foreign id after a while.
func (in *Injector) cross(w http.ResponseWriter, r *http.Request, next http.Handler, s Spec) {
	const usualWait = 2 * time.Second
	x := exchange{mine: record(next, r), other: make(chan *recorded, 1)}
	timer := time.NewTimer(s.delay(usualWait))
	defer timer.Stop()
	select {
	case in.crossing <- x:
		(<-x.other).writeTo(w)
	case first := <-in.crossing:
		first.other <- x.mine
		first.mine.writeTo(w)
	case <-timer.C:
		x.mine.header.Set(wire.HeaderRequestID, "crossed-without-partner")
		x.mine.writeTo(w)
	}
}
