//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
	"unicode/utf8"
)

// engine is a model server as the users' pages describe it, with batches of slots, orders with
// fences and expected counts, and streams that resume behind Last-Event-Id.
type engine struct {
	w       *world
	name    string
	id      string
	service string
	address string
	born    int64
	slots   int
	queue   int
	models  []string
	// eventTime is between two events of a run.
	eventTime time.Duration
	// length is the number of events of an item.
	length func(item string) int
	// spoils reports whether the answer that begins now goes on without end, nil: none does.
	spoils func() bool

	mu       sync.Mutex
	versions map[string]int64
	loading  map[string]bool // models that an order concerns
	busy     bool
	sequence int64
	fence    int64
	running  map[string]int // runs that have begun, by model
	waiting  int
	lost     bool // for good
	server   *http.Server
	conns    map[net.Conn]bool
	runs     []*itemRun
	orders   []orderSeen
	answers  int // given or begun
	// reportSpoiled says that a report of this server had a wrong byte.
	reportSpoiled bool
}

// itemRun is one run of an item at a server.
type itemRun struct {
	item       string
	after      int
	version    int64 // at its first event
	begun      time.Time
	ended      time.Time // zero: it is under way
	events     int
	finished   bool // its last event was made
	failedWith int
}

// orderSeen is one order as it arrived.
type orderSeen struct {
	at      time.Time
	holder  string
	fence   int64
	model   string
	version int64
	status  int
}

const (
	eventTime   = 30 * time.Millisecond
	loadTime    = 900 * time.Millisecond
	engineSlots = 16
	engineQueue = 48
	// firstEventTime is the read of a prompt.
	firstEventTime = 10 * time.Millisecond
	wrongByte      = "\xff"
	// spoiledDigit turns the first digit of a time of today in Unix ms, 1, into 9.
	spoiledDigit = 8_000_000_000_000
	stamp        = "3e1b.07.5a2.600.0.c9f2a4d1"
)

// addEngine starts a server and its entries in the store.
func (w *world) addEngine(service string, models []string, eventTime time.Duration, length func(string) int) (*engine, error) {
	e := &engine{w: w, name: fmt.Sprintf("engine-%d", len(w.servers)+1), id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, born: time.Now().UnixMilli(),
		slots: engineSlots, queue: engineQueue, models: models, eventTime: eventTime, length: length, versions: map[string]int64{}, loading: map[string]bool{}, running: map[string]int{}, conns: map[net.Conn]bool{}}
	for _, m := range models {
		e.versions[m] = 1
	}
	l, err := listen(w.ip)
	if err != nil {
		return nil, err
	}
	e.address = l.Addr().String()
	e.server = &http.Server{Handler: e, ConnState: e.track}
	go func() { _ = e.server.Serve(l) }() // until it is lost
	w.servers = append(w.servers, e)
	go e.heartbeats()
	return e, nil
}

func (e *engine) track(c net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if state == http.StateClosed {
		delete(e.conns, c)
		return
	}
	e.conns[c] = true
}

// lose ends the server for good: its connections are reset, its entry is removed after three
// intervals of silence.
func (e *engine) lose() {
	e.mu.Lock()
	e.lost = true
	conns := e.conns
	e.conns = map[net.Conn]bool{}
	e.mu.Unlock()
	for c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // a reset, as of a process that ends
		}
		_ = c.Close()
	}
	_ = e.server.Close()
	time.AfterFunc(3*heartbeat, func() { _ = e.w.store.Put(serversTopic, e.id, nil) })
	e.w.note("%s (%s) is lost for good", e.name, e.id)
}

func (e *engine) heartbeats() {
	for n := 0; e.w.ctx.Err() == nil; n++ {
		e.mu.Lock()
		lost := e.lost
		doc := encode(map[string]any{"service": e.service, "address": e.address, "zone": "semarang", "version": "v1", "slots": e.slots, "state": "ready",
			"cold_remaining_ms": 0, "sequence": n, "born": e.born, "stage": "both", "models": e.modelsLocked()})
		e.mu.Unlock()
		if lost {
			return
		}
		_ = e.w.store.Put(serversTopic, e.id, doc) // a store in memory takes it
		time.Sleep(heartbeat)
	}
}

func (e *engine) modelsLocked() []map[string]any {
	var out []map[string]any
	for _, m := range e.models {
		out = append(out, map[string]any{"name": m, "version": e.versions[m], "adapters": []string{}})
	}
	return out
}

func (e *engine) version(model string) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.versions[model]
}

// occupied returns how many runs are under way.
func (e *engine) occupied() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, r := range e.running {
		n += r
	}
	return n
}

func answer(w http.ResponseWriter, status int, doc any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encode(doc)) // the caller may be gone
}

// ServeHTTP answers as a model server.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	e.answers++
	e.mu.Unlock()
	w.Header().Set("X-Dogwoodflow-Instance-Id", e.id)
	if id := r.Header.Get("X-Dogwoodflow-Attempt-Id"); id != "" {
		w.Header().Set("X-Dogwoodflow-Attempt-Id", id)
	}
	if want := r.Header.Get("X-Dogwoodflow-Expect-Instance"); want != "" && want != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/healthz":
		w.WriteHeader(http.StatusOK)
	case "/api/report":
		e.mu.Lock()
		doc := map[string]any{"stage": "both", "models": e.modelsLocked(), "busy": e.busy, "sequence": e.sequence, "waiting": e.waiting, "running": 0,
			"kv_used": 0, "kv_total": 99699, "handles": 0, "born": e.born}
		spoiled := !e.reportSpoiled && e.w.takeReport()
		e.reportSpoiled = e.reportSpoiled || spoiled
		if spoiled {
			doc["born"] = e.born + spoiledDigit
		}
		e.mu.Unlock()
		if spoiled {
			e.w.note("%s (%s) hands out a wrong byte in its report: born %d in place of %d", e.name, e.id, doc["born"], e.born)
		}
		answer(w, http.StatusOK, doc)
	case "/api/order":
		e.order(w, r)
	default:
		e.generate(w, r)
	}
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Op      string `json:"op"`
		Model   string `json:"model"`
		Version int64  `json:"version"`
		Mode    string `json:"mode"`
		Holder  string `json:"holder"`
		Fence   int64  `json:"fence"`
		Expect  *int64 `json:"expect"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.Fence == 0 || o.Op != "version" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	status := http.StatusAccepted
	switch {
	case o.Fence < e.fence:
		status = http.StatusPreconditionFailed
	case !e.w.isNamed(o.Model, o.Version):
		status = http.StatusBadRequest
	case e.versions[o.Model] == o.Version:
		status = http.StatusOK
	case e.busy, o.Expect != nil && *o.Expect != e.sequence:
		status = http.StatusConflict
	}
	e.fence = max(e.fence, o.Fence)
	if status == http.StatusAccepted {
		e.busy = true
		e.loading[o.Model] = true
		e.sequence++
		go e.load(o.Model, o.Version, o.Mode)
	}
	e.orders = append(e.orders, orderSeen{time.Now(), o.Holder, o.Fence, o.Model, o.Version, status})
	e.mu.Unlock()
	e.w.note("%s: order of %s, fence %d, version %d of %s, mode %s: %d", e.name, o.Holder, o.Fence, o.Version, o.Model, o.Mode, status)
	w.WriteHeader(status)
}

func (e *engine) load(model string, version int64, mode string) {
	for mode == "wait" && e.runsOf(model) > 0 {
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(loadTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.versions[model] = version
	e.busy = false
	e.loading[model] = false
}

func (e *engine) runsOf(model string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running[model]
}

// admit takes a slot for a run, or says that the server didn't take it.
func (e *engine) admit(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, r := range e.running {
		n += r
	}
	if e.loading[model] || n >= e.slots {
		return false
	}
	e.running[model]++
	return true
}

func (e *engine) generate(w http.ResponseWriter, r *http.Request) {
	item, model := r.Header.Get("X-Dogwoodflow-Attempt-Id"), r.Header.Get("X-Dogwoodflow-Model")
	if _, err := io.ReadAll(r.Body); err != nil {
		return // its sender left
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // none is 0
	if want := r.Header.Get("X-Dogwoodflow-Expect-Version"); want != "" && want != strconv.FormatInt(e.version(model), 10) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !e.admit(model) {
		w.Header().Set("X-Dogwoodflow-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	run := &itemRun{item: item, after: after, begun: time.Now()}
	e.mu.Lock()
	run.version = e.versions[model]
	e.runs = append(e.runs, run)
	endless := e.spoils != nil && e.spoils()
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running[model]--
		run.ended = time.Now()
		e.mu.Unlock()
	}()
	spoiled := e.w.takeSpoiled(item)
	version := run.version
	w.Header().Set("X-Dogwoodflow-Server-Stamp", stamp)
	w.Header().Set("X-Dogwoodflow-Weight-Versions", strconv.FormatInt(version, 10))
	w.Header().Set("Content-Type", "text/event-stream")
	pause := firstEventTime
	for n := after + 1; n <= e.length(item); n++ {
		select {
		case <-r.Context().Done():
			return // a server drops the request when the channel closes
		case <-time.After(pause):
		}
		pause = e.eventTime
		if now := e.version(model); now != version {
			version = now
			fmt.Fprintf(w, "x-dogwoodflow-weight-versions: %d\n", version)
		}
		field, data := "data", eventData(item, n, e.length(item))
		switch {
		case spoiled == spoilData && n == e.length(item):
			data = data[:len(data)-1] + wrongByte
		case spoiled == spoilName && n == e.length(item)/2:
			field = "dat" + wrongByte
		}
		if spoiled != spoilNone && (field != "data" || !utf8.ValidString(data)) {
			e.w.note("%s hands out a wrong byte in event %d of %s", e.name, n, item)
		}
		fmt.Fprintf(w, "id: %d\n%s: %s\n\n", n, field, data)
		e.mu.Lock()
		run.events = n
		run.finished = n == e.length(item)
		e.mu.Unlock()
		_ = http.NewResponseController(w).Flush() // a sender that left shows in the context
	}
	if endless {
		e.w.note("%s goes on without end after event %d of %s", e.name, max(after, e.length(item)), item)
		sent := sendWithoutEnd(w, max(after, e.length(item)))
		e.w.note("%s: caller of %s closed after %d events too many", e.name, item, sent)
	}
}

// eventData is the data of an event of an item.
func eventData(item string, n, length int) string { return fmt.Sprintf("%s %d of %d", item, n, length) }

// eventsAtOnce are written together by a server that doesn't end its answer.
const eventsAtOnce = 500

// sendWithoutEnd sends empty events behind an event until the caller closes.
func sendWithoutEnd(w http.ResponseWriter, after int) (sent int) {
	var block []byte
	for {
		block = block[:0]
		for range eventsAtOnce {
			after++
			block = append(block, "id: "...)
			block = strconv.AppendInt(block, int64(after), 10)
			block = append(block, "\ndata:\n\n"...)
		}
		if _, err := w.Write(block); err != nil {
			return sent
		}
		sent += eventsAtOnce
	}
}

// itemRuns returns the runs of all items at all servers.
func (w *world) itemRuns() map[string][]seenRun {
	out := map[string][]seenRun{}
	for _, e := range w.servers {
		e.mu.Lock()
		for _, r := range e.runs {
			out[r.item] = append(out[r.item], seenRun{*r, e.name})
		}
		e.mu.Unlock()
	}
	return out
}

// seenRun is a run and its server's name.
type seenRun struct {
	itemRun
	server string
}
