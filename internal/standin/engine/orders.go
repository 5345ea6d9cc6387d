package engine

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/standin/fault"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/host"
	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

// keptOrders bounds the history of orders.
const keptOrders = 10_000

// Errors of orders. Nothing has changed when one is returned.
var (
	errFence     = errors.New("fencing number is too old")
	errLate      = errors.New("order not begun before its deadline")
	errSwapFails = errors.New("swap failed")
)

// OrderEntry is one order as it ended, for proofs.
type OrderEntry struct {
	wire.Order
	UnixMillis int64  `json:"unix_millis"`
	Applied    bool   `json:"applied"`
	Error      string `json:"error,omitempty"`
}

// orders carries out one order at a time.
type orders struct {
	engine *Engine
	turn   chan struct{} // holds a token while an order is carried out

	mu      sync.Mutex
	highest int64
	history []OrderEntry
}

func newOrders(e *Engine) *orders {
	return &orders{engine: e, turn: make(chan struct{}, 1)}
}

func (o *orders) serveHistory(w http.ResponseWriter, _ *http.Request) {
	o.mu.Lock()
	history := append([]OrderEntry{}, o.history...)
	o.mu.Unlock()
	host.WriteJSON(w, http.StatusOK, history)
}

func (o *orders) serve(w http.ResponseWriter, r *http.Request) {
	var order wire.Order
	if !host.ReadJSON(w, r, &order) {
		return
	}
	arrived := time.Now()
	o.turn <- struct{}{}
	defer func() { <-o.turn }()
	// A caller that has gone doesn't stop an order that has come in.
	err := o.carryOut(context.WithoutCancel(r.Context()), order, arrived)
	o.remember(order, err)
	host.WriteJSON(w, statusOf(err), o.result(order, err))
}

func statusOf(err error) int {
	switch {
	case err == nil:
		return http.StatusOK
	case errors.Is(err, errFence):
		return http.StatusConflict
	default:
		return http.StatusServiceUnavailable
	}
}

func (o *orders) carryOut(ctx context.Context, order wire.Order, arrived time.Time) error {
	deadline := time.Duration(order.DeadlineMillis) * time.Millisecond
	if deadline > 0 && time.Since(arrived) > deadline {
		return errLate
	}
	if err := o.fence(order.Fence); err != nil {
		return err
	}
	switch order.Kind {
	case wire.OrderLoad:
		return o.load(ctx, order)
	case wire.OrderSwitch:
		return o.switchTo(order)
	case wire.OrderLoadAdapter:
		return o.loadAdapter(order)
	case wire.OrderRole:
		return nil
	default:
		return fmt.Errorf("unknown order %q", order.Kind)
	}
}

// fence refuses an order of a holder whose lease has gone to another one, when
// this engine checks fencing numbers.
func (o *orders) fence(number int64) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.engine.options.CheckFencing {
		return nil
	}
	if number < o.highest {
		return fmt.Errorf("%w: %d, highest seen %d", errFence, number, o.highest)
	}
	o.highest = number
	return nil
}

func (o *orders) load(ctx context.Context, order wire.Order) error {
	e := o.engine
	m, err := e.model(order.Model)
	if err != nil {
		return err
	}
	e.mu.Lock()
	known := m.has(order.Version)
	e.mu.Unlock()
	if known {
		return nil
	}
	if _, hit := e.faults.Consume(fault.SwapFails, string(order.Kind)); hit {
		return errSwapFails
	}
	if err := e.fetch(ctx, order.Model, order.Version); err != nil {
		return err
	}
	time.Sleep(e.options.LoadTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	m.load(order.Version, e.options.MaxLoaded)
	return nil
}

func (o *orders) switchTo(order wire.Order) error {
	e := o.engine
	m, err := e.model(order.Model)
	if err != nil {
		return err
	}
	if _, hit := e.faults.Consume(fault.SwapFails, string(order.Kind)); hit {
		return errSwapFails
	}
	time.Sleep(e.options.SwitchTime)
	early, isEarly := e.faults.Consume(fault.ReportBeforeServing)
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := m.check(order.Version); err != nil {
		return err
	}
	m.reported = order.Version
	if !isEarly {
		m.serving = order.Version
		return nil
	}
	time.AfterFunc(earlyTime(early), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		m.serving = m.reported
	})
	return nil
}

// earlyTime is how long a version is named before it is served.
func earlyTime(s fault.Spec) time.Duration {
	const usual = 500 * time.Millisecond
	if s.Value == 0 {
		return usual
	}
	return time.Duration(s.Value * float64(time.Millisecond))
}

func (o *orders) loadAdapter(order wire.Order) error {
	m, err := o.engine.model(order.Model)
	if err != nil {
		return err
	}
	time.Sleep(o.engine.options.LoadTime)
	o.engine.mu.Lock()
	defer o.engine.mu.Unlock()
	m.adapters = append(m.adapters, order.Adapter)
	return nil
}

func (e *Engine) model(name string) (*model, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if m := e.models[name]; m != nil {
		return m, nil
	}
	return nil, fmt.Errorf("model %q isn't served here", name)
}

func (o *orders) remember(order wire.Order, err error) {
	entry := OrderEntry{Order: order, UnixMillis: time.Now().UnixMilli(), Applied: err == nil}
	if err != nil {
		entry.Error = err.Error()
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history = append(o.history, entry)
	if len(o.history) > keptOrders {
		o.history = o.history[1:]
	}
}

func (o *orders) result(order wire.Order, err error) wire.OrderResult {
	result := wire.OrderResult{Applied: err == nil}
	if err != nil {
		result.Error = err.Error()
	}
	o.mu.Lock()
	result.HighestFence = o.highest
	o.mu.Unlock()
	o.engine.mu.Lock()
	defer o.engine.mu.Unlock()
	if m := o.engine.models[order.Model]; m != nil {
		result.Serving = m.reported
	}
	return result
}
