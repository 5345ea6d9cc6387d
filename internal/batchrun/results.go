package batchrun

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/batch"
	"github.com/dogwoodflow/dogwoodflow/internal/membudget"
	"github.com/dogwoodflow/dogwoodflow/internal/metrics"
	"github.com/dogwoodflow/dogwoodflow/internal/policy"
)

// Result is the result of a sample.
type Result struct {
	ID       string // of the sample
	State    batch.State
	Text     string  // its events, joined by newlines; "" unless the sample was completed
	Versions []int64 // weights versions that generated the text, in order, without repetitions in a row
	Score    string  // "" for a sample without a reward call
}

// Page is a part of a batch's results.
type Page struct {
	Total   int // number of samples in the batch
	Next    int // position after the last result returned
	Results []Result
}

const (
	// maxPageBytes bounds the total size of the texts in one page. A page has at least one
	// result, whatever its size.
	maxPageBytes = 900 << 10
	// maxPageResults bounds the results in one page, and so the blobs that are read for it.
	maxPageResults = 128
	// maxPageBlobBytes bounds the blobs that are read for a page. Some may be of results that don't fit
	// into it.
	maxPageBlobBytes = 2 * maxPageBytes
	// pageReadTime is for how long a page's texts are read if some results can be returned by then. The
	// reader asks for the others next.
	pageReadTime = 500 * time.Millisecond
	// pageCopies is how often a text is in memory while its page is made: in its blobs, decoded
	// and joined.
	pageCopies = 3
)

// maxUnconfirmedAge is the age of a view above which it is brought up to date before the answer
// is that there is no result yet: a result that another daemon returned a second ago must be
// known.
const maxUnconfirmedAge = 500 * time.Millisecond

// lastScoresWait is how long a read that has results waits for more while the last reward calls
// that its step needs are in progress, which take some 200 ms each. Trainers poll twice a
// second. If they were answered just before the last score, the step would end half a second
// later, and one whose longest sample takes most of the allowed time would be late.
const lastScoresWait = 300 * time.Millisecond

const (
	// maxReadAge is the age of a view up to which results are read from it without bringing
	// it up to date. A view without dependents on this daemon reads the log four times a
	// second, and a trainer that misses the last result asks again half a second later.
	maxReadAge = 30 * time.Millisecond
	// refreshTimeout bounds bringing the view up to date; the store answers within some ms.
	refreshTimeout = 100 * time.Millisecond
)

// refreshView brings a view without dependents up to date before results are read from it; an
// owner's view gets each record within some ms anyway. If the store doesn't answer in time the
// view is used as it is: the results in it are valid.
func (s *Service) refreshView(ctx context.Context, p *partition) {
	if !p.hasNoDependents() || p.follower.Age() <= maxReadAge || !p.follower.InContact() || !s.options.Policy.Enabled(policy.Closing) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	if err := p.follower.CatchUp(ctx); err != nil {
		s.options.Logger.Debug().Int("part", p.number).Err(err).Msg("failed to bring a view up to date for a reader")
	}
}

// Listing is a part of a batch's results, with references to the blobs that hold their texts.
// The daemon that a reader asked reads the blobs. When owners read them for all daemons, and
// all batches were read at once, as after a day's work, it took seconds.
type Listing struct {
	Partition int            // number of the batch's partition
	Total     int            // number of samples in the batch
	Samples   []batch.Sample // those with a result, from the requested position on
	// Blobs holds, by offset, those blobs of the texts that were in the cache.
	Blobs             map[int64][]byte
	lastScoresPending bool // the last reward calls that the step needs are in progress
}

// List returns a batch's results from position after on. If there are none it waits for the
// first one. Error: ErrUnsure.
func (h LocalHandler) List(ctx context.Context, id string, after int, wait time.Duration) (Listing, error) {
	p, release, err := h.holdPartition(id)
	if err != nil {
		return Listing{}, err
	}
	defer release()
	h.s.refreshView(ctx, p)
	l, err := h.s.listResults(ctx, p, id, after, wait)
	if err != nil {
		return Listing{}, err
	}
	l.Blobs = h.s.blobs.cached(p.number, textOffsets(l.Samples))
	return l, nil
}

// listResults returns a batch's results from position after on. If there are none it waits for
// the first one, and if the step's last scores are pending it waits for them.
func (s *Service) listResults(ctx context.Context, p *partition, id string, after int, wait time.Duration) (Listing, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	var scoresTimeout <-chan time.Time
	for mayWait, awaitScores := true, s.options.Policy.Enabled(policy.Closing); ; {
		l, changed, ok := p.listing(id, after)
		switch {
		case !ok:
			return Listing{}, ErrUnsure // the view was dropped since the batch was located
		case len(l.Samples) > 0 && !(awaitScores && mayWait && l.lastScoresPending):
			return l, nil
		case len(l.Samples) > 0 && scoresTimeout == nil:
			scoresTimeout = time.After(lastScoresWait)
		case len(l.Samples) == 0 && (!mayWait || after >= l.Total):
			return s.confirmEmpty(ctx, p, id, after)
		}
		p.follower.SkipPause()
		select {
		case <-changed:
		case <-timer.C:
			mayWait = false
		case <-scoresTimeout:
			awaitScores = false
		case <-ctx.Done():
			return Listing{}, errors.Join(ErrUnsure, ctx.Err())
		}
	}
}

// confirmEmpty returns a listing without results, or with those that it finds after all. If the
// view may be out of date, such as after its connection has stalled, it is brought up to date
// first: another daemon may have returned these results already.
func (s *Service) confirmEmpty(ctx context.Context, p *partition, id string, after int) (Listing, error) {
	if p.follower.Age() > maxUnconfirmedAge || after > p.resultCount(id) {
		ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
		defer cancel()
		if err := errors.Join(p.follower.WaitLoaded(ctx), p.follower.CatchUp(ctx)); err != nil {
			return Listing{}, errors.Join(ErrUnsure, err)
		}
	}
	l, _, ok := p.listing(id, after)
	if !ok {
		return Listing{}, ErrUnsure
	}
	return l, nil
}

// resultCount returns how many samples of a batch have a result, 0 if there is no such batch.
func (p *partition) resultCount(id string) int {
	n := 0
	p.withBatch(id, func(b *batch.Batch) {
		if b != nil {
			n = len(b.Listed)
		}
	})
	return n
}

// listing returns a batch's results from position after on, and a channel that is closed at the
// batch's next change. ok is false if there is no such batch.
func (p *partition) listing(id string, after int) (l Listing, changed <-chan struct{}, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.state.Get(id)
	if b == nil {
		return Listing{}, nil, false
	}
	l.Partition = p.number
	l.Total = len(b.Samples)
	l.lastScoresPending = b.AwaitsScores()
	for i := after; i < len(b.Listed) && len(l.Samples) < maxPageResults; i++ {
		sample := b.Samples[b.Listed[i]]
		sample.Text = sample.Text.Clip()
		l.Samples = append(l.Samples, sample)
	}
	return l, p.waiterLocked(id), true
}

// readPage returns the results of a listing with their texts, which it reads from the blobs. If
// some blobs can't be read it returns the results before the first of them.
func (s *Service) readPage(ctx context.Context, l Listing, after int, stats *ReadStats) (Page, error) {
	began := time.Now()
	stats.Stage, stats.Partition = StageTexts, l.Partition
	var fetched fetchStats
	blobs, readErr := s.pageBlobs(ctx, l, &fetched)
	stats.Texts, stats.Reads, stats.ReadBytes, stats.UsedBytes = time.Since(began), fetched.reads, fetched.readBytes, bytesOf(blobs)
	var lease *membudget.Lease
	if len(blobs) > 0 {
		var ok bool
		if lease, ok = s.options.ReaderMemory.Acquire(int64(bytesOf(blobs)) * pageCopies); !ok {
			stats.Stage = StageMemory
			return Page{}, errors.Join(ErrUnsure, membudget.ErrNoRoom)
		}
	}
	defer lease.Release()
	page := Page{Total: l.Total, Next: after}
	size := 0
	for i := range l.Samples {
		r, err := newResult(&l.Samples[i], blobs)
		if errors.Is(err, batch.ErrMalformed) {
			r, err = s.unreadableResult(l, i, err), nil
		}
		if err != nil && readErr != nil && len(page.Results) > 0 {
			break
		}
		if err != nil {
			return Page{}, errors.Join(ErrUnsure, readErr, err)
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

// pageBlobs returns the blobs of a listing's texts, as many as a page may need. With an error some
// are missing, but not those of the first sample unless they can't be read.
func (s *Service) pageBlobs(ctx context.Context, l Listing, stats *fetchStats) (map[int64][]byte, error) {
	var offsets []int64
	limit := fetchLimit{bytes: maxPageBlobBytes, time: pageReadTime}
	for i := range l.Samples {
		offsets = append(offsets, textOffsets(l.Samples[i:i+1])...)
		limit.ends = append(limit.ends, len(offsets))
	}
	if len(limit.ends) > 0 {
		limit.first = limit.ends[0]
	}
	return s.blobs.getUpTo(ctx, l.Partition, offsets, l.Blobs, limit, stats)
}

// textOffsets returns the offsets of the blobs that hold the texts of completed samples.
func textOffsets(listed []batch.Sample) []int64 {
	var out []int64
	for i := range listed {
		if listed[i].State != batch.Completed {
			continue
		}
		for _, segment := range listed[i].Text.Segments {
			out = append(out, segment.Offset)
		}
	}
	return out
}

var resultsUnreadable = metrics.Counter("results_unreadable")

// unreadableResult returns the result of a sample whose stored text can't be decoded by any daemon. It
// counts as given up, so that the results behind it can be read.
func (s *Service) unreadableResult(l Listing, i int, why error) Result {
	resultsUnreadable.Add(1)
	s.options.Logger.Error().Int("part", l.Partition).Str("sample", l.Samples[i].ID).Err(why).Msg("text of a result can't be decoded")
	return Result{ID: l.Samples[i].ID, State: batch.GivenUp}
}

// errNoBlob means that a blob of a text wasn't read.
var errNoBlob = errors.New("batchrun: blob not read")

// newResult returns the result of a sample. blobs holds the blobs of its text by offset. Errors:
// errNoBlob, batch.ErrMalformed.
func newResult(s *batch.Sample, blobs map[int64][]byte) (Result, error) {
	r := Result{ID: s.ID, State: s.State}
	if s.State != batch.Completed {
		return r, nil
	}
	var texts []string
	for _, segment := range s.Text.Segments {
		blob, ok := blobs[segment.Offset]
		if !ok {
			return Result{}, errNoBlob
		}
		events, err := batch.UnpackText(blob)
		if err != nil {
			return Result{}, err
		}
		if len(events) != segment.Events {
			return Result{}, fmt.Errorf("%w: %d events in the blob at offset %d, %d expected", batch.ErrMalformed, len(events), segment.Offset, segment.Events)
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

// BodyLocation is the location of the body of a sample's request.
type BodyLocation struct {
	Partition int    // number of the batch's partition
	Offset    int64  // offset of the blob that holds the request
	Index     int    // of the request in the blob
	Blob      []byte // the blob itself, nil if it wasn't in the cache
}

// Body returns the location of a sample's body. id is the batch's ID. Errors: ErrNotFound,
// ErrUnsure.
func (h LocalHandler) Body(_ context.Context, id, sampleID string) (BodyLocation, error) {
	p, release, err := h.holdPartition(id)
	if err != nil {
		return BodyLocation{}, err
	}
	defer release()
	found := false
	out := BodyLocation{Partition: p.number}
	p.withBatch(id, func(b *batch.Batch) {
		if b == nil {
			return
		}
		for i := range b.Samples {
			if b.Samples[i].ID == sampleID {
				out.Offset, out.Index = b.RequestBlob(i)
				found = true
			}
		}
	})
	if !found {
		return BodyLocation{}, ErrNotFound
	}
	out.Blob = h.s.blobs.cached(p.number, []int64{out.Offset})[out.Offset]
	return out, nil
}

// readBody reads a body from its blob.
func (s *Service) readBody(ctx context.Context, location BodyLocation) ([]byte, error) {
	known := map[int64][]byte{}
	if location.Blob != nil {
		known[location.Offset] = location.Blob
	}
	blobs, err := s.blobs.get(ctx, location.Partition, []int64{location.Offset}, known)
	if err != nil {
		return nil, errors.Join(ErrUnsure, err)
	}
	requests, err := batch.UnpackRequests(blobs[location.Offset])
	if err != nil || location.Index >= len(requests) {
		return nil, errors.Join(ErrUnsure, err)
	}
	return requests[location.Index].Body, nil
}
