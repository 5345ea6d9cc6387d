package batchrun

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
	"github.com/dogwoodflow/dogwoodflow/internal/policy"
)

// Result is a listed sample.
type Result struct {
	ID       string
	State    batch.State
	Text     string
	Versions []int64 // weights that made events of the text, each once, in order
	Score    string  // "" for a sample without a reward call
}

// Page is a part of a batch's results.
type Page struct {
	Total   int // samples of the batch
	Next    int // position behind the last result returned
	Results []Result
}

const (
	// maxPageBytes bounds the texts of one page; one result is always returned.
	maxPageBytes = 900 << 10
	// maxPageResults bounds the blobs that one page reads from the log.
	maxPageResults = 128
)

// confirmAge is the age of a view from which "no result yet" is confirmed by a read:
// what another daemon showed a second ago has to be known.
const confirmAge = 500 * time.Millisecond

// closingWait is how long a read that has results waits for more while the last scores that
// its step needs are being made, some 200 ms each. Trainers ask twice a second: an answer just before
// the last score makes the step end half a second later, and a step whose longest sample
// takes most of its time then misses its due time.
const closingWait = 300 * time.Millisecond

const (
	// freshAge is the age of a view up to which results are given without another look.
	// The view of a partition that nobody here depends on is read four times a second, and
	// a trainer that doesn't get the last result now asks again half a second later.
	freshAge = 30 * time.Millisecond
	// freshWait bounds that look; the store answers within some ms.
	freshWait = 100 * time.Millisecond
)

// freshen brings a view up to date before results are taken from it. The view of a
// partition that is owned here has each record within some ms. A store that doesn't answer
// in time leaves the view as it is: what it has is true.
func (s *Service) freshen(ctx context.Context, p *partition) {
	if !p.hasNoDependents() || p.follower.Age() <= freshAge || !p.follower.InContact() || !s.options.Policy.On(policy.Closing) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, freshWait)
	defer cancel()
	if err := p.follower.CatchUp(ctx); err != nil {
		s.options.Logger.Debug().Int("part", p.number).Err(err).Msg("view not brought up to date for a reader")
	}
}

// Listing is a part of a batch's results as the fold has it: their texts lie in blobs.
// An owner that read the blobs for everybody took seconds when all batches were read at
// once, as after a day's work; now each daemon that is asked reads what it needs.
type Listing struct {
	Part   int
	Total  int            // samples of the batch
	Listed []batch.Sample // from the position asked for
	// Blobs are those of the texts' that were at hand, by offset.
	Blobs   map[int64][]byte
	closing bool // the last scores that the step waits for are being made
}

// List returns what is listed from a position on. Without any it waits for the first.
// Error: ErrUnsure.
func (h Here) List(ctx context.Context, id string, after int, wait time.Duration) (Listing, error) {
	p, release, err := h.take(id)
	if err != nil {
		return Listing{}, err
	}
	defer release()
	h.s.freshen(ctx, p)
	l, err := h.s.list(ctx, p, id, after, wait)
	if err != nil {
		return Listing{}, err
	}
	l.Blobs = h.s.blobs.kept(p.number, blobsOf(l.Listed))
	return l, nil
}

func (s *Service) list(ctx context.Context, p *partition, id string, after int, wait time.Duration) (Listing, error) {
	limit := time.NewTimer(wait)
	defer limit.Stop()
	var closing <-chan time.Time
	for waiting, hold := true, s.options.Policy.On(policy.Closing); ; {
		l, changed, ok := p.list(id, after)
		switch {
		case !ok:
			return Listing{}, ErrUnsure // forgotten since it was located
		case len(l.Listed) > 0 && !(hold && waiting && l.closing):
			return l, nil
		case len(l.Listed) > 0 && closing == nil:
			closing = time.After(closingWait)
		case len(l.Listed) == 0 && (!waiting || after >= l.Total):
			return s.confirmEmpty(ctx, p, id, after)
		}
		p.follower.Hurry()
		select {
		case <-changed:
		case <-limit.C:
			waiting = false
		case <-closing:
			hold = false
		case <-ctx.Done():
			return Listing{}, errors.Join(ErrUnsure, ctx.Err())
		}
	}
}

// confirmEmpty answers that a position has no result yet. A view that may be out
// of date, as behind a connection that fell silent, is brought up to date first:
// another daemon may have shown the position already.
func (s *Service) confirmEmpty(ctx context.Context, p *partition, id string, after int) (Listing, error) {
	if p.follower.Age() > confirmAge || after > p.count(id) {
		ctx, cancel := context.WithTimeout(ctx, confirmWait)
		defer cancel()
		if err := p.follower.CatchUp(ctx); err != nil {
			return Listing{}, errors.Join(ErrUnsure, err)
		}
	}
	l, _, ok := p.list(id, after)
	if !ok {
		return Listing{}, ErrUnsure
	}
	return l, nil
}

func (p *partition) count(id string) int {
	n := 0
	p.withBatch(id, func(b *batch.Batch) {
		if b != nil {
			n = len(b.Listed)
		}
	})
	return n
}

// list collects results and returns a channel that closes at the next change.
func (p *partition) list(id string, after int) (l Listing, changed <-chan struct{}, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.state.Get(id)
	if b == nil {
		return Listing{}, nil, false
	}
	l.Part = p.number
	l.Total = len(b.Samples)
	l.closing = b.Closing()
	for at := after; at < len(b.Listed) && len(l.Listed) < maxPageResults; at++ {
		sample := b.Samples[b.Listed[at]]
		sample.Text = sample.Text.Clip()
		l.Listed = append(l.Listed, sample)
	}
	return l, p.waiterLocked(id), true
}

// page puts the texts of listed samples together from their blobs.
func (s *Service) page(ctx context.Context, l Listing, after int) (Page, error) {
	found, missing := s.blobs.get(ctx, l.Part, blobsOf(l.Listed), l.Blobs)
	page := Page{Total: l.Total, Next: after}
	size := 0
	for i := range l.Listed {
		r, err := resultOf(&l.Listed[i], found)
		if err != nil && missing != nil && len(page.Results) > 0 {
			break // what is at hand is given while the store is away
		}
		if err != nil {
			return Page{}, errors.Join(ErrUnsure, missing, err)
		}
		size += len(r.Text)
		if size > maxPageBytes && len(page.Results) > 0 {
			break
		}
		page.Results = append(page.Results, r)
		page.Next++
	}
	return page, nil
}

// blobsOf returns the offsets of the blobs that hold the texts of completed samples.
func blobsOf(listed []batch.Sample) []int64 {
	var out []int64
	for i := range listed {
		if listed[i].State != batch.Completed {
			continue
		}
		for _, segment := range listed[i].Text.Segments {
			out = append(out, segment.At)
		}
	}
	return out
}

func resultOf(s *batch.Sample, found map[int64][]byte) (Result, error) {
	r := Result{ID: s.ID, State: s.State}
	if s.State != batch.Completed {
		return r, nil
	}
	var texts []string
	for _, segment := range s.Text.Segments {
		events, err := batch.UnpackText(found[segment.At])
		if err != nil {
			return Result{}, err
		}
		if len(events) != segment.Events {
			return Result{}, fmt.Errorf("%w: %d events at offset %d, %d were recorded", batch.ErrMalformed, len(events), segment.At, segment.Events)
		}
		texts = append(texts, events...)
		for _, run := range segment.Versions {
			if n := len(r.Versions); n == 0 || r.Versions[n-1] != run.Version {
				r.Versions = append(r.Versions, run.Version)
			}
		}
	}
	r.Text = strings.Join(texts, "\n")
	r.Score = s.Score
	return r, nil
}

// BodyAt is where a sample's body lies.
type BodyAt struct {
	Part  int
	At    int64  // offset of the blob
	Index int    // of the sample's request in it
	Blob  []byte // nil if it isn't at hand
}

// Body tells where the body of a sample lies. Errors: ErrNotFound, ErrUnsure.
func (h Here) Body(_ context.Context, id, item string) (BodyAt, error) {
	p, release, err := h.take(id)
	if err != nil {
		return BodyAt{}, err
	}
	defer release()
	found := false
	out := BodyAt{Part: p.number}
	p.withBatch(id, func(b *batch.Batch) {
		if b == nil {
			return
		}
		for i := range b.Samples {
			if b.Samples[i].ID == item {
				out.At, out.Index = b.RequestBlob(i)
				found = true
			}
		}
	})
	if !found {
		return BodyAt{}, ErrNotFound
	}
	out.Blob = h.s.blobs.kept(p.number, []int64{out.At})[out.At]
	return out, nil
}

// readBody takes a body out of its blob.
func (s *Service) readBody(ctx context.Context, b BodyAt) ([]byte, error) {
	known := map[int64][]byte{}
	if b.Blob != nil {
		known[b.At] = b.Blob
	}
	blobs, err := s.blobs.get(ctx, b.Part, []int64{b.At}, known)
	if err != nil {
		return nil, errors.Join(ErrUnsure, err)
	}
	requests, err := batch.UnpackRequests(blobs[b.At])
	if err != nil || b.Index >= len(requests) {
		return nil, errors.Join(ErrUnsure, err)
	}
	return requests[b.Index].Body, nil
}
