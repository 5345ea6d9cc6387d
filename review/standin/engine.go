//go:build review

package main

import (
	"cmp"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	defaultEventTime = 10 * time.Millisecond
	sampleEvents     = 12
)

// run is one run of an item at a server, as that server saw it.
type run struct {
	server  string
	service string
	path    string
	at      time.Time
	status  int
}

// runLog has the runs of all items by their IDs.
type runLog struct {
	mu   sync.Mutex
	runs map[string][]run
}

func (l *runLog) add(item string, r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs == nil {
		l.runs = map[string][]run{}
	}
	l.runs[item] = append(l.runs[item], r)
}

func (l *runLog) of(item string) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[item]
}

// engineOptions say how a model server answers.
type engineOptions struct {
	log *runLog
	// neverDone reports an item that is answered with 422.
	neverDone func(item string) bool
	// extra reports whether an answer is sent a second time, where the next one is expected.
	extra func(s *server) bool
	// eventTime is between two events of a run, 0: defaultEventTime.
	eventTime time.Duration
}

func eventData(item string, n int) string { return fmt.Sprintf("%s:%d", item, n) }

// newEngine returns the handler of a model server.
func newEngine(o engineOptions) func(*server) func(*channel, *http.Request, []byte) {
	return func(s *server) func(*channel, *http.Request, []byte) {
		return func(c *channel, r *http.Request, body []byte) {
			switch r.URL.Path {
			case "/api/report":
				s.mu.Lock()
				doc := encode(map[string]any{"stage": "both", "models": s.modelList(), "busy": false, "sequence": s.orders, "waiting": 0, "running": s.running, "kv_used": 0, "kv_total": 99699, "handles": 0})
				s.mu.Unlock()
				c.answer(r, http.StatusOK, map[string]string{"Content-Type": "application/json"}, doc)
			case "/api/order":
				c.answer(r, http.StatusOK, nil, nil) // no version is named in these cases: each order already holds
			default:
				s.generate(c, r, body, o)
			}
		}
	}
}

// generate runs an item.
func (s *server) generate(c *channel, r *http.Request, body []byte, o engineOptions) {
	item, model := r.Header.Get("X-Dogwoodflow-Attempt-Id"), r.Header.Get("X-Dogwoodflow-Model")
	if string(body) != "body of "+item {
		s.w.record.add("server %s: item %s came with the body %q", c.id, item, body)
	}
	if !s.take() {
		c.answer(r, http.StatusServiceUnavailable, map[string]string{"X-Dogwoodflow-Not-Executed": "1", "X-Dogwoodflow-Instance-Load": s.load()}, nil)
		return
	}
	defer s.release()
	eventTime := cmp.Or(o.eventTime, defaultEventTime)
	extra := o.extra != nil && o.extra(s)
	if o.neverDone != nil && o.neverDone(item) {
		time.Sleep(eventTime)
		o.log.add(item, run{c.id, s.service, r.URL.Path, time.Now(), http.StatusUnprocessableEntity})
		s.w.record.add("server %s answers 422 to item %s", c.id, item)
		sent := c.answer(r, http.StatusUnprocessableEntity, map[string]string{"X-Dogwoodflow-Server-Stamp": "stamp." + item}, nil)
		if extra {
			c.late = sent
		}
		return
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // none is 0
	o.log.add(item, run{c.id, s.service, r.URL.Path, time.Now(), http.StatusOK})
	s.w.record.add("server %s of %s runs item %s, path %s, after event %d", c.id, s.service, item, r.URL.Path, after)
	head := c.head(r, http.StatusOK, map[string]string{
		"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked", "Keep-Alive": "timeout=5",
		"X-Dogwoodflow-Server-Stamp": "stamp." + item, "X-Dogwoodflow-Weight-Versions": strconv.FormatInt(s.models[model], 10),
	})
	sent := append(head, "\r\n"...)
	time.Sleep(eventTime)
	if _, err := c.c.Write(sent); err != nil {
		return
	}
	for n := after + 1; n <= sampleEvents; n++ {
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", n, eventData(item, n))
		piece := fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		sent = append(sent, piece...)
		if _, err := c.c.Write([]byte(piece)); err != nil {
			return
		}
		time.Sleep(eventTime)
	}
	const end = "0\r\n\r\n"
	if _, err := c.c.Write([]byte(end)); err != nil {
		return
	}
	if extra {
		c.late = append(sent, end...)
	}
}
