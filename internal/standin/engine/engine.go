package engine

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/dogwoodflow/dogwoodflow/internal/standin/fault"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/host"
	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

// Engine is a stand-in engine. It is an http.Handler without its faults'
// middleware, which host.Start adds. Close ends its loop.
type Engine struct {
	options Options
	bootID  string
	faults  *fault.Injector
	leaving host.LeavingState
	handler http.Handler
	orders  *orders

	mu       sync.Mutex // guards what follows
	running  []*stream
	queue    []*stream
	models   map[string]*model
	cache    *prefixCache
	truth    *truth
	stepTime time.Duration // the last token step
	report   wire.LoadReport
	reported time.Time

	wake    chan struct{} // a stream came in
	closing chan struct{}
	closed  sync.Once
	done    sync.WaitGroup
}

// New starts an engine.
func New(options Options) *Engine {
	options = options.withDefaults()
	e := &Engine{
		options:  options,
		bootID:   strconv.FormatInt(time.Now().UnixNano(), 36),
		faults:   options.Faults,
		models:   newModels(options.Models),
		cache:    newPrefixCache(options),
		truth:    newTruth(),
		stepTime: options.tokenTime(1),
		wake:     make(chan struct{}, 1),
		closing:  make(chan struct{}),
	}
	e.orders = newOrders(e)
	e.handler = e.leaving.Wrap(e.routes())
	e.sample()
	e.done.Go(e.loop)
	if options.LoadLag > 0 {
		e.done.Go(e.sampleEvery)
	}
	return e
}

// Close ends the engine's goroutines; open streams end unfinished.
func (e *Engine) Close() {
	e.closed.Do(func() { close(e.closing) })
	e.done.Wait()
}

// SetLeaving begins or ends leaving.
func (e *Engine) SetLeaving(leaving bool) { e.leaving.Set(leaving) }

// Faults returns the engine's faults.
func (e *Engine) Faults() *fault.Injector { return e.faults }

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.handler.ServeHTTP(w, r) }

func (e *Engine) routes() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/completions", e.serveGenerate).Methods(http.MethodPost)
	r.HandleFunc("/v1/chat/completions", e.serveGenerate).Methods(http.MethodPost)
	r.HandleFunc("/load", e.serveLoad).Methods(http.MethodGet)
	r.HandleFunc("/cache-events", e.serveCacheEvents).Methods(http.MethodGet)
	r.HandleFunc("/orders", e.orders.serve).Methods(http.MethodPost)
	r.HandleFunc("/orders", e.orders.serveHistory).Methods(http.MethodGet)
	r.HandleFunc("/counts", e.serveCounts).Methods(http.MethodGet)
	r.HandleFunc("/truth", e.serveTruth).Methods(http.MethodGet)
	return r
}

func (e *Engine) serveCounts(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	counts := e.truth.counts()
	e.mu.Unlock()
	counts.Leaving = e.leaving.Report()
	host.WriteJSON(w, http.StatusOK, counts)
}

func (e *Engine) serveTruth(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Query().Get("id")
	e.mu.Lock()
	runs := e.truth.of(id)
	e.mu.Unlock()
	host.WriteJSON(w, http.StatusOK, Truth{ID: id, Runs: runs})
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		from = 0
	}
	e.mu.Lock()
	page := e.cache.page(from, time.Now())
	e.mu.Unlock()
	host.WriteJSON(w, http.StatusOK, page)
}
