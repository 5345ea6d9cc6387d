//go:build review

package main

import (
	"net/http"
	"strings"
	"time"
)

const workTime = 10 * time.Millisecond

// serviceOptions say how a plain server answers.
type serviceOptions struct {
	// crashes reports whether a request crashes the server that begins to run it.
	crashes func(s *server, path string) bool
	// downTime is how long a crashed server is away.
	downTime time.Duration
	// arrived is told of each request that reaches a server.
	arrived func(s *server, id, path string)
}

// newService returns the handler of a plain server.
func newService(o serviceOptions) func(*server) func(*channel, *http.Request, []byte) {
	return func(s *server) func(*channel, *http.Request, []byte) {
		return func(c *channel, r *http.Request, body []byte) {
			if r.URL.Path == "/healthz" {
				c.answer(r, http.StatusOK, map[string]string{"X-Dogwoodflow-Instance-Load": s.load()}, nil)
				return
			}
			id := r.Header.Get("X-Dogwoodflow-Attempt-Id")
			if o.arrived != nil {
				o.arrived(s, id, r.URL.Path)
			}
			if !s.take() {
				c.answer(r, http.StatusServiceUnavailable, map[string]string{"X-Dogwoodflow-Not-Executed": "1", "X-Dogwoodflow-Instance-Load": s.load()}, nil)
				return
			}
			defer s.release()
			time.Sleep(workTime)
			if o.crashes != nil && o.crashes(s, r.URL.Path) {
				s.w.record.add("server %s begins to run %s, request %s", c.id, r.URL.Path, id)
				s.crash(o.downTime)
				return
			}
			c.answer(r, http.StatusOK, map[string]string{"X-Dogwoodflow-Server-Stamp": "stamp." + id, "X-Dogwoodflow-Instance-Load": s.load()}, []byte(strings.Repeat("x", 200)+" answer to "+id))
		}
	}
}
