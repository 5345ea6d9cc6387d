package engine

import (
	"sync"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/standin/fault"
)

// stream is one generation, queued or running.
type stream struct {
	id    string
	model string
	from  int // tokens that came with the request
	next  int // index of the next token
	end   int // tokens of the whole answer
	ready time.Time
	// prefill is what the prompt costs once the stream is let in.
	prefill time.Duration
	run     *run
	gone    bool // its caller has gone; guarded by the engine's lock

	mu      sync.Mutex
	pending []span
	notify  chan struct{}
}

// span is consecutive tokens [from, to) of one version, not yet sent.
type span struct {
	from, to int
	version  int64
}

// push hands a token to the stream's handler. It never blocks the batch.
func (s *stream) push(i int, version int64) {
	s.mu.Lock()
	if n := len(s.pending); n > 0 && s.pending[n-1].version == version {
		s.pending[n-1].to = i + 1
	} else {
		s.pending = append(s.pending, span{from: i, to: i + 1, version: version})
	}
	s.mu.Unlock()
	select {
	case s.notify <- struct{}{}:
	default:
	}
}

// take returns what was generated since the last call.
func (s *stream) take() []span {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.pending
	s.pending = nil
	return out
}

// submit queues a stream and wakes the loop.
func (e *Engine) submit(s *stream) {
	e.mu.Lock()
	e.queue = append(e.queue, s)
	s.run = e.truth.queued(s.id, s.from)
	e.admit(time.Now())
	e.mu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// abandon drops a stream whose caller has gone.
func (e *Engine) abandon(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.gone = true
}

// admit fills the batch from the queue, in order of arrival. Under the lock.
func (e *Engine) admit(now time.Time) {
	for len(e.queue) > 0 && len(e.running) < e.options.MaxRunning {
		s := e.queue[0]
		e.queue[0] = nil
		e.queue = e.queue[1:]
		if s.gone {
			continue
		}
		s.ready = now.Add(s.prefill)
		e.truth.begun(s.run)
		e.running = append(e.running, s)
	}
}

// loop runs token steps while there are streams: one timer for all of them.
func (e *Engine) loop() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		if !e.waitThawed() {
			return
		}
		step, busy := e.nextStep()
		if !busy {
			select {
			case <-e.wake:
				continue
			case <-e.closing:
				return
			}
		}
		timer.Reset(step)
		select {
		case <-timer.C:
		case <-e.closing:
			return
		}
		if !e.waitThawed() {
			return
		}
		e.step(time.Now())
	}
}

// waitThawed stops the loop during a freeze; false means that the engine closes.
func (e *Engine) waitThawed() bool {
	thawed := e.faults.FreezeDone()
	if thawed == nil {
		return true
	}
	select {
	case <-thawed:
		return true
	case <-e.closing:
		return false
	}
}

// nextStep returns how long the coming token step takes.
func (e *Engine) nextStep() (time.Duration, bool) {
	slow := 1.0
	if s, hit := e.faults.Peek(fault.Slow); hit && s.Value > 1 {
		slow = s.Value
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.running) == 0 {
		return 0, false
	}
	e.stepTime = time.Duration(float64(e.options.tokenTime(len(e.running))) * slow)
	return e.stepTime, true
}

// step generates one token of every stream whose prompt is through.
func (e *Engine) step(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	kept := e.running[:0]
	for _, s := range e.running {
		if s.gone {
			continue
		}
		if !now.Before(s.ready) {
			e.generate(s)
		}
		if s.next < s.end {
			kept = append(kept, s)
		}
	}
	clear(e.running[len(kept):])
	e.running = kept
	e.admit(now)
}

func (e *Engine) generate(s *stream) {
	version := e.models[s.model].serving
	e.truth.token(s.run, version)
	s.push(s.next, version)
	s.next++
}
