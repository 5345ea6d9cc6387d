package batchrun

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
	"github.com/dogwoodflow/dogwoodflow/internal/follow"
)

// Result is a listed sample.
type Result struct {
	ID       string
	State    batch.State
	Text     string
	Versions []int64 // weights that made events of the text, each once, in order
}

// Page is a part of a batch's results.
type Page struct {
	Total   int // samples of the batch
	Next    int // position behind the last result returned
	Results []Result
}

// maxPageBytes bounds the texts of one page; one result is always returned.
const maxPageBytes = 900 << 10

// Results returns the results from a position on. Without any it waits for the
// first. Errors: ErrNotFound, ErrUnsure.
func (s *Service) Results(ctx context.Context, id string, after int, wait time.Duration) (Page, error) {
	p, err := s.locate(ctx, id)
	if err != nil {
		return Page{}, err
	}
	limit := time.NewTimer(wait)
	defer limit.Stop()
	for waiting := true; ; {
		page, changed, ok := p.page(id, after)
		if !ok {
			return Page{}, ErrUnsure // forgotten since it was located
		}
		if len(page.Results) > 0 {
			return page, nil
		}
		if !waiting || after >= page.Total {
			return s.confirmEmpty(ctx, p, id, after)
		}
		select {
		case <-changed:
		case <-limit.C:
			waiting = false
		case <-ctx.Done():
			return Page{}, errors.Join(ErrUnsure, ctx.Err())
		}
	}
}

// confirmEmpty answers that a position has no result yet. A view that may be out
// of date, as behind a connection that fell silent, is brought up to date first:
// another daemon may have shown the position already.
func (s *Service) confirmEmpty(ctx context.Context, p *partition, id string, after int) (Page, error) {
	if p.follower.Age() > follow.StaleAfter || after > p.listed(id) {
		ctx, cancel := context.WithTimeout(ctx, confirmWait)
		defer cancel()
		if err := p.follower.CatchUp(ctx); err != nil {
			return Page{}, errors.Join(ErrUnsure, err)
		}
	}
	page, _, ok := p.page(id, after)
	if !ok {
		return Page{}, ErrUnsure
	}
	return page, nil
}

func (p *partition) listed(id string) int {
	n := 0
	p.view(id, func(b *batch.Batch) {
		if b != nil {
			n = len(b.Listed)
		}
	})
	return n
}

// page collects results and returns a channel that closes at the next change.
func (p *partition) page(id string, after int) (page Page, changed <-chan struct{}, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.fold.Get(id)
	if b == nil {
		return Page{}, nil, false
	}
	page = Page{Total: len(b.Samples), Next: after}
	size := 0
	for at := after; at < len(b.Listed) && size < maxPageBytes; at++ {
		r := resultOf(&b.Samples[b.Listed[at]])
		size += len(r.Text)
		if size > maxPageBytes && len(page.Results) > 0 {
			break
		}
		page.Results = append(page.Results, r)
		page.Next = at + 1
	}
	return page, p.waiterLocked(id), true
}

func resultOf(s *batch.Sample) Result {
	r := Result{ID: s.ID, State: s.State}
	if s.State != batch.Completed {
		return r
	}
	texts := make([]string, len(s.Events))
	for i, e := range s.Events {
		texts[i] = e.Data
		if len(r.Versions) == 0 || r.Versions[len(r.Versions)-1] != e.Version {
			r.Versions = append(r.Versions, e.Version)
		}
	}
	r.Text = strings.Join(texts, "\n")
	return r
}

// Body returns the body of a sample. Errors: ErrNotFound, ErrUnsure.
func (s *Service) Body(ctx context.Context, id, item string) ([]byte, error) {
	p, err := s.locate(ctx, id)
	if err != nil {
		return nil, err
	}
	var body []byte
	found := false
	p.view(id, func(b *batch.Batch) {
		if b == nil {
			return
		}
		for i := range b.Samples {
			if b.Samples[i].ID == item {
				body, found = b.Samples[i].Body, true
			}
		}
	})
	if !found {
		return nil, ErrNotFound
	}
	return body, nil
}
