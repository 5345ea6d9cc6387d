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

// ErrUnreachable: another daemon didn't answer. A call that was passed to it may take effect.
var ErrUnreachable = errors.New("batchrun: daemon not reached")

// Peers passes calls on to Here of other daemons. Beside the errors of Here, a call may
// fail with ErrUnreachable.
type Peers interface {
	Locate(ctx context.Context, address, id string, confirm bool) (locate.Answer, error)
	List(ctx context.Context, address, id string, after int, wait time.Duration) (Listing, error)
	End(ctx context.Context, address, id string) error
	Body(ctx context.Context, address, id, item string) (BodyAt, error)
}

// answerer answers for a batch that was located: Here, or a remote daemon.
type answerer interface {
	List(ctx context.Context, id string, after int, wait time.Duration) (Listing, error)
	End(ctx context.Context, id string) error
	Body(ctx context.Context, id, item string) (BodyAt, error)
}

const (
	// locateWait bounds the search for a batch.
	locateWait = 1500 * time.Millisecond
	// askWait bounds one question to a daemon: a way there and back of some ms, and the
	// turns of a small VM's processor. After it the daemon counts as unreachable.
	askWait = 250 * time.Millisecond
	// callWait bounds a call beyond the wait that it asks for: its view may have to be
	// brought up to date.
	callWait = 700 * time.Millisecond
	// passedWait bounds how long one passed call waits for results. A daemon that falls
	// silent under it costs the reader this and callWait, within the 1.5 s that readers
	// wait beyond what they ask for.
	passedWait = 500 * time.Millisecond
	// answerTries bounds the daemons that one call is passed to.
	answerTries = 2
)

var (
	callsPassed    = metrics.Counter("batch_calls_passed_on")
	callsLostPeer  = metrics.Counter("batch_calls_peer_unreachable")
	callsFollowing = metrics.Counter("batch_calls_followed_here")
)

// Results returns the results from a position on. Without any it waits for the
// first. Errors: ErrNotFound, ErrUnsure.
func (s *Service) Results(ctx context.Context, id string, after int, wait time.Duration) (Page, error) {
	var listing Listing
	until := s.options.Now() + wait
	err := s.answer(ctx, id, func(a answerer) error {
		var err error
		listing, err = a.List(ctx, id, after, max(0, until-s.options.Now()))
		return err
	})
	if errors.Is(err, ErrUnreachable) {
		err = errors.Join(ErrUnsure, err)
	}
	if err != nil {
		return Page{}, err
	}
	return s.page(ctx, listing, after)
}

// Body returns the body of a sample. Errors: ErrNotFound, ErrUnsure.
func (s *Service) Body(ctx context.Context, id, item string) ([]byte, error) {
	var at BodyAt
	err := s.answer(ctx, id, func(a answerer) error {
		var err error
		at, err = a.Body(ctx, id, item)
		return err
	})
	if errors.Is(err, ErrUnreachable) {
		err = errors.Join(ErrUnsure, err)
	}
	if err != nil {
		return nil, err
	}
	return s.readBody(ctx, at)
}

// End ends a batch; ending it again changes nothing. Errors: ErrNotFound,
// ErrUnsure, ErrNotRun, ErrUnknown.
func (s *Service) End(ctx context.Context, id string) error {
	err := s.answer(ctx, id, func(a answerer) error { return a.End(ctx, id) })
	if errors.Is(err, ErrUnreachable) {
		err = errors.Join(ErrUnknown, err)
	}
	return err
}

// answer has a call answered where its batch is held. A call that met a daemon which
// doesn't answer is made once more elsewhere: each of them may be repeated.
func (s *Service) answer(ctx context.Context, id string, call func(answerer) error) error {
	var err error
	for range answerTries {
		var at answerer
		var release func()
		if at, release, err = s.locate(ctx, id); err != nil {
			return err
		}
		err = call(at)
		release()
		if !errors.Is(err, ErrUnreachable) {
			return err
		}
	}
	return err
}

// locate finds who answers for a batch. It looks first where models have their partitions.
// That there is no such batch is said only when every other partition was brought up to
// date too, by its owner or here: a model's partition may have been written down after this
// daemon's last look, or the log may have lost that record. The caller calls release when
// it has its answer.
func (s *Service) locate(ctx context.Context, id string) (at answerer, release func(), err error) {
	if p := s.partitionForBatch(id); p != nil {
		return s.Here(), p.follower.Hold(), nil
	}
	ctx, cancel := context.WithTimeout(ctx, locateWait)
	defer cancel()
	homes := s.modelPartitions.partitions()
	at, release, err = s.search(ctx, id, homes)
	if !errors.Is(err, ErrNotFound) {
		return at, release, err
	}
	var others []int
	for _, p := range s.partitions {
		if !slices.Contains(homes, p.number) {
			others = append(others, p.number)
		}
	}
	return s.search(ctx, id, others)
}

// search looks for a batch in some partitions.
func (s *Service) search(ctx context.Context, id string, parts []int) (at answerer, release func(), err error) {
	search := locate.New(parts, s.directory.cached(s.options.Now()), s.options.Now())
	release = func() {}
	for ctx.Err() == nil {
		switch a := search.Next(s.options.Now()).(type) {
		case locate.ReadOwners:
			s.readOwners(ctx, search)
		case locate.Ask:
			s.ask(ctx, id, a, search)
		case locate.Pause:
			pause.For(ctx, a.For)
		case locate.Follow:
			release = s.follow(ctx, id, a.Parts, search)
		case locate.Found:
			callsPassed.Add(1)
			return remote{s, a.Address}, release, nil
		case locate.FoundHere:
			return s.Here(), release, nil
		case locate.Nowhere:
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

func (s *Service) readOwners(ctx context.Context, search *locate.Search) {
	ctx, cancel := context.WithTimeout(ctx, askWait)
	defer cancel()
	owners, err := s.directory.refresh(ctx, s.options.Now())
	if err != nil {
		// In an outage of the store nobody gets another's partition: whoever owned one
		// still answers for what it has.
		owners = s.directory.lastKnown()
		s.options.Logger.Warn().Err(err).Int("known", len(owners)).Msg("owners of the partitions not read, those known before are asked")
	}
	search.Owners(owners)
}

// ask asks daemons at once whether they hold a batch.
func (s *Service) ask(ctx context.Context, id string, a locate.Ask, search *locate.Search) {
	answers := make([]locate.Answer, len(a.Addresses))
	errs := make([]error, len(a.Addresses))
	var work errgroup.Group
	for i, address := range a.Addresses {
		work.Go(func() error {
			answers[i], errs[i] = s.askOne(ctx, address, id, a.Confirm)
			return nil
		})
	}
	_ = work.Wait() // none of them returns an error
	for i, address := range a.Addresses {
		if errs[i] != nil {
			search.Unreachable(address)
			continue
		}
		search.Answered(address, a.Confirm, answers[i])
	}
}

func (s *Service) askOne(ctx context.Context, address, id string, confirm bool) (locate.Answer, error) {
	if address == s.options.Address {
		return s.Here().Locate(ctx, id, confirm), nil
	}
	limit := askWait
	if confirm {
		limit += confirmWait / 2
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var answer locate.Answer
	err := remote{s, address}.do(ctx, func() error {
		var err error
		answer, err = s.options.Peers.Locate(ctx, address, id, confirm)
		return err
	})
	return answer, err
}

// follow reads partitions here and looks for a batch there. They stay held until release.
func (s *Service) follow(ctx context.Context, id string, parts []int, search *locate.Search) (release func()) {
	callsFollowing.Add(1)
	s.options.Logger.Info().Str("batch", id).Ints("parts", parts).Msg("owners not reached, partitions followed here")
	var held []func()
	var list []*partition
	for _, n := range parts {
		list = append(list, s.partitions[n])
		held = append(held, s.partitions[n].follower.Hold())
	}
	confirmed := s.Here().confirm(ctx, list)
	search.Followed(s.partitionForBatch(id) != nil, confirmed)
	return func() {
		for _, release := range held {
			release()
		}
	}
}

// remote answers by another daemon.
type remote struct {
	s       *Service
	address string
}

// do makes a call to the daemon unless it didn't answer a moment ago.
func (r remote) do(ctx context.Context, call func() error) error {
	now, suspects := r.s.options.Now(), r.s.options.Suspects
	if r.s.options.Peers == nil || suspects.Holds(r.address, now) {
		return ErrUnreachable
	}
	err := call()
	switch {
	case !errors.Is(err, ErrUnreachable):
		suspects.Worked(r.address)
	case ctx.Err() != nil && errors.Is(context.Cause(ctx), context.Canceled):
		// The caller left: that says nothing of the daemon.
	default:
		callsLostPeer.Add(1)
		suspects.Failed(r.address, r.s.options.Now())
		r.s.options.Logger.Warn().Str("daemon", r.address).Err(err).Msg("daemon not reached")
	}
	return err
}

// List waits in pieces, so that a daemon that falls silent is noticed in time.
func (r remote) List(ctx context.Context, id string, after int, wait time.Duration) (Listing, error) {
	until := r.s.options.Now() + wait
	for {
		left := max(0, until-r.s.options.Now())
		l, err := r.list(ctx, id, after, min(left, passedWait))
		if err != nil || len(l.Listed) > 0 || left <= passedWait || after >= l.Total {
			return l, err
		}
	}
}

func (r remote) list(ctx context.Context, id string, after int, wait time.Duration) (l Listing, err error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callWait)
	defer cancel()
	err = r.do(ctx, func() error {
		l, err = r.s.options.Peers.List(ctx, r.address, id, after, wait)
		return err
	})
	return l, err
}

// End ends the batch there.
func (r remote) End(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), submitWait)
	defer cancel()
	return r.do(ctx, func() error { return r.s.options.Peers.End(ctx, r.address, id) })
}

// Body asks where a sample's body lies.
func (r remote) Body(ctx context.Context, id, item string) (at BodyAt, err error) {
	ctx, cancel := context.WithTimeout(ctx, callWait)
	defer cancel()
	err = r.do(ctx, func() error {
		at, err = r.s.options.Peers.Body(ctx, r.address, id, item)
		return err
	})
	return at, err
}
