package batchrun

import (
	"context"
	"errors"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dogwoodflow/dogwoodflow/internal/locate"
	"github.com/dogwoodflow/dogwoodflow/internal/metrics"

	"github.com/dogwoodflow/dogwoodflow/internal/pause"
)

// ErrUnreachable means that another daemon didn't answer. A call that was forwarded to it may
// still take effect.
var ErrUnreachable = errors.New("batchrun: daemon unreachable")

// Peers forwards calls to other daemons, given by their address. id is a batch's ID. A call
// fails with the other daemon's error or with ErrUnreachable.
type Peers interface {
	Locate(ctx context.Context, address, id string, confirm bool) (locate.Answer, error)
	List(ctx context.Context, address, id string, after int, wait time.Duration) (Listing, error)
	End(ctx context.Context, address, id string) error
	Body(ctx context.Context, address, id, sampleID string) (BodyLocation, error)
}

// batchHandler handles the calls about a batch that was located, on this daemon or by forwarding
// them to another one.
type batchHandler interface {
	List(ctx context.Context, id string, after int, wait time.Duration) (Listing, error)
	End(ctx context.Context, id string) error
	Body(ctx context.Context, id, sampleID string) (BodyLocation, error)
}

const (
	// locateTimeout bounds the search for a batch.
	locateTimeout = 1500 * time.Millisecond
	// askTimeout bounds the call that asks a daemon for a batch: a round trip of some ms, and
	// scheduling delays on a small VM. A daemon that doesn't answer within it counts as
	// unreachable.
	askTimeout = 250 * time.Millisecond
	// forwardTimeout bounds a forwarded call, in addition to the wait that it requests: the
	// other daemon may have to bring its view up to date.
	forwardTimeout = 700 * time.Millisecond
	// maxForwardedWait bounds the wait for results that one forwarded call requests. A daemon
	// that stops answering during the call delays the reader by this and forwardTimeout,
	// which is within the 1.5 s that readers wait beyond the wait that they request.
	maxForwardedWait = 500 * time.Millisecond
	// maxHandlerAttempts bounds how often a call is made if daemons don't answer.
	maxHandlerAttempts = 2
)

var (
	callsForwarded       = metrics.Counter("batch_calls_passed_on")
	callsPeerUnreachable = metrics.Counter("batch_calls_peer_unreachable")
	callsFollowedLocally = metrics.Counter("batch_calls_followed_here")
)

// Find looks for a batch here and at the owners. Errors: ErrNotFound, ErrUnsure.
func (s *Service) Find(ctx context.Context, id string) error {
	_, release, err := s.locate(ctx, id)
	if err == nil {
		release()
	}
	return err
}

// Results returns a batch's results from position after on. If there are none it waits for the
// first one. Errors: ErrNotFound, ErrUnsure, wrapped in a *ReadError.
func (s *Service) Results(ctx context.Context, id string, after int, wait time.Duration) (Page, error) {
	began := s.options.Now()
	stats := ReadStats{Stage: StageSearch, Partition: -1}
	page, err := s.readResults(ctx, id, after, wait, &stats)
	took := s.options.Now() - began
	readTime.Observe(max(0, took-wait))
	if err != nil {
		readsFailed[stats.Stage].Add(1)
		return Page{}, &ReadError{ReadStats: stats, Err: err}
	}
	if took-wait > slowRead {
		s.options.Logger.Info().Str("batch", id).Int("after", after).Int("part", stats.Partition).Dur("took", took).Dur("wait", wait).Dur("listing", stats.Listing).
			Dur("texts", stats.Texts).Int("reads", stats.Reads).Int("read_bytes", stats.ReadBytes).Int("used_bytes", stats.UsedBytes).Msg("results read slowly")
	}
	return page, nil
}

// readResults is Results without measuring.
func (s *Service) readResults(ctx context.Context, id string, after int, wait time.Duration, stats *ReadStats) (Page, error) {
	var listing Listing
	began := s.options.Now()
	until := began + wait
	err := s.callHandler(ctx, id, func(h batchHandler) error {
		stats.Stage = StageListing
		var err error
		listing, err = h.List(ctx, id, after, max(0, until-s.options.Now()))
		return err
	})
	if errors.Is(err, ErrUnreachable) {
		err = errors.Join(ErrUnsure, err)
	}
	stats.Listing = s.options.Now() - began
	if err != nil {
		return Page{}, err
	}
	return s.readPage(ctx, listing, after, stats)
}

// Body returns the request body of a sample. id is the batch's ID. Errors: ErrNotFound,
// ErrUnsure.
func (s *Service) Body(ctx context.Context, id, sampleID string) ([]byte, error) {
	var location BodyLocation
	err := s.callHandler(ctx, id, func(h batchHandler) error {
		var err error
		location, err = h.Body(ctx, id, sampleID)
		return err
	})
	if errors.Is(err, ErrUnreachable) {
		err = errors.Join(ErrUnsure, err)
	}
	if err != nil {
		return nil, err
	}
	return s.readBody(ctx, location)
}

// End ends a batch; ending it again has no effect. Errors: ErrNotFound, ErrUnsure, ErrNotRun,
// ErrUnknown.
func (s *Service) End(ctx context.Context, id string) error {
	err := s.callHandler(ctx, id, func(h batchHandler) error { return h.End(ctx, id) })
	if errors.Is(err, ErrUnreachable) {
		err = errors.Join(ErrUnknown, err)
	}
	return err
}

// callHandler locates a batch and makes a call to its handler. If the daemon there doesn't
// answer, the batch is located again and the call repeated, which is safe for each of them.
func (s *Service) callHandler(ctx context.Context, id string, call func(batchHandler) error) error {
	var err error
	for range maxHandlerAttempts {
		var handler batchHandler
		var release func()
		if handler, release, err = s.locate(ctx, id); err != nil {
			return err
		}
		err = call(handler)
		release()
		if !errors.Is(err, ErrUnreachable) {
			return err
		}
	}
	return err
}

// locate finds the handler of a batch. It first searches the partitions that models are
// assigned to. It returns ErrNotFound only after all other partitions were searched too, each
// of them brought up to date by its owner or here: a model's assignment may have been recorded
// after this daemon last read the topic, or the store may have lost the record. The caller
// calls release after its call to the handler.
func (s *Service) locate(ctx context.Context, id string) (handler batchHandler, release func(), err error) {
	if p := s.partitionForBatch(id); p != nil {
		return s.LocalHandler(), p.follower.Hold(), nil
	}
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	assigned := s.modelPartitions.partitions()
	handler, release, err = s.search(ctx, id, assigned)
	if !errors.Is(err, ErrNotFound) {
		return handler, release, err
	}
	var others []int
	for _, p := range s.partitions {
		if !slices.Contains(assigned, p.number) {
			others = append(others, p.number)
		}
	}
	return s.search(ctx, id, others)
}

// search searches some partitions for a batch.
func (s *Service) search(ctx context.Context, id string, parts []int) (handler batchHandler, release func(), err error) {
	search := locate.New(parts, s.directory.cached(s.options.Now()), s.options.Now())
	release = func() {}
	for ctx.Err() == nil {
		switch a := search.Next(s.options.Now()).(type) {
		case locate.ReadOwners:
			s.readOwners(ctx, search)
		case locate.Ask:
			s.askOwners(ctx, id, a, search)
		case locate.Pause:
			pause.For(ctx, a.Duration)
		case locate.Follow:
			release = s.searchLocally(ctx, id, a.Partitions, search)
		case locate.Found:
			callsForwarded.Add(1)
			return remoteHandler{s, a.Address}, release, nil
		case locate.FoundLocally:
			return s.LocalHandler(), release, nil
		case locate.NotFound:
			release()
			return nil, nil, ErrNotFound
		case locate.Unsure:
			release()
			return nil, nil, ErrUnsure
		}
	}
	release()
	return nil, nil, errors.Join(ErrUnsure, ctx.Err())
}

// readOwners gives a search the current owners of the partitions.
func (s *Service) readOwners(ctx context.Context, search *locate.Search) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	owners, err := s.directory.refresh(ctx, s.options.Now())
	if err != nil {
		// No partition changes its owner during an outage of the store, so the former
		// owners still answer from their views.
		owners = s.directory.lastKnown()
		s.options.Logger.Warn().Err(err).Int("known", len(owners)).Msg("failed to read the partition owners; using the last known ones")
	}
	search.SetOwners(owners)
}

// askOwners asks several owners concurrently whether they hold a batch.
func (s *Service) askOwners(ctx context.Context, id string, a locate.Ask, search *locate.Search) {
	answers := make([]locate.Answer, len(a.Addresses))
	errs := make([]error, len(a.Addresses))
	var g errgroup.Group
	for i, address := range a.Addresses {
		g.Go(func() error {
			answers[i], errs[i] = s.askOwner(ctx, address, id, a.Confirm)
			return nil
		})
	}
	_ = g.Wait() // none of them returns an error
	for i, address := range a.Addresses {
		if errs[i] != nil {
			search.RecordUnreachable(address)
			continue
		}
		search.RecordAnswer(address, a.Confirm, answers[i])
	}
}

// askOwner asks one owner, which may be this daemon, whether it holds a batch.
func (s *Service) askOwner(ctx context.Context, address, id string, confirm bool) (locate.Answer, error) {
	if address == s.options.Address {
		return s.LocalHandler().Locate(ctx, id, confirm), nil
	}
	timeout := askTimeout
	if confirm {
		timeout += confirmTimeout / 2
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var answer locate.Answer
	err := remoteHandler{s, address}.do(ctx, func() error {
		var err error
		answer, err = s.options.Peers.Locate(ctx, address, id, confirm)
		return err
	})
	return answer, err
}

// searchLocally follows partitions on this daemon and searches their views for a batch. The
// views are held until release is called.
func (s *Service) searchLocally(ctx context.Context, id string, parts []int, search *locate.Search) (release func()) {
	callsFollowedLocally.Add(1)
	s.options.Logger.Info().Str("batch", id).Ints("parts", parts).Msg("partition owners unreachable; following the partitions on this daemon")
	var releases []func()
	var list []*partition
	for _, n := range parts {
		list = append(list, s.partitions[n])
		releases = append(releases, s.partitions[n].follower.Hold())
	}
	confirmed := s.LocalHandler().catchUp(ctx, list)
	search.RecordFollow(s.partitionForBatch(id) != nil, confirmed)
	return func() {
		for _, release := range releases {
			release()
		}
	}
}

// remoteHandler forwards calls to another daemon.
type remoteHandler struct {
	s       *Service
	address string
}

// do makes a call to the daemon. If the daemon recently failed to answer, it returns
// ErrUnreachable at once.
func (r remoteHandler) do(ctx context.Context, call func() error) error {
	now, suspects := r.s.options.Now(), r.s.options.Suspects
	if r.s.options.Peers == nil || suspects.IsSuspect(r.address, now) {
		return ErrUnreachable
	}
	err := call()
	switch {
	case !errors.Is(err, ErrUnreachable):
		suspects.Succeeded(r.address)
	case ctx.Err() != nil && errors.Is(context.Cause(ctx), context.Canceled):
		// The caller cancelled the call, so the daemon isn't suspect.
	default:
		callsPeerUnreachable.Add(1)
		suspects.Failed(r.address, r.s.options.Now())
		r.s.options.Logger.Warn().Str("daemon", r.address).Err(err).Msg("daemon did not answer")
	}
	return err
}

// List waits in several calls of at most maxForwardedWait each, so that it is noticed in time
// if the daemon stops answering.
func (r remoteHandler) List(ctx context.Context, id string, after int, wait time.Duration) (Listing, error) {
	until := r.s.options.Now() + wait
	for {
		remaining := max(0, until-r.s.options.Now())
		l, err := r.listOnce(ctx, id, after, min(remaining, maxForwardedWait))
		if err != nil || len(l.Samples) > 0 || remaining <= maxForwardedWait || after >= l.Total {
			return l, err
		}
	}
}

// listOnce makes one List call to the daemon.
func (r remoteHandler) listOnce(ctx context.Context, id string, after int, wait time.Duration) (l Listing, err error) {
	ctx, cancel := context.WithTimeout(ctx, wait+forwardTimeout)
	defer cancel()
	err = r.do(ctx, func() error {
		l, err = r.s.options.Peers.List(ctx, r.address, id, after, wait)
		return err
	})
	return l, err
}

// End ends the batch on the daemon, even if the caller leaves meanwhile.
func (r remoteHandler) End(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), submitTimeout)
	defer cancel()
	return r.do(ctx, func() error { return r.s.options.Peers.End(ctx, r.address, id) })
}

// Body asks the daemon for the location of a sample's body.
func (r remoteHandler) Body(ctx context.Context, id, sampleID string) (location BodyLocation, err error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	err = r.do(ctx, func() error {
		location, err = r.s.options.Peers.Body(ctx, r.address, id, sampleID)
		return err
	})
	return location, err
}
