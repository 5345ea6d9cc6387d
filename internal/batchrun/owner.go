package batchrun

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/dogwoodflow/dogwoodflow/internal/store"

	"github.com/dogwoodflow/dogwoodflow/internal/pause"
)

const (
	// joinInterval is between two calls that keep this daemon's partitions. A
	// partition that is dealt anew without notice is run twice for so long.
	joinInterval = 300 * time.Millisecond
	// joinTimeout leaves time for two more calls within the member's TTL when answers
	// are lost. A slow store answers within 250 ms.
	joinTimeout = 400 * time.Millisecond
	// earlyJoins are made faster, and settleTime is waited before the first gained
	// partition is run: when all daemons start together, the first to join gets every
	// partition and loses most again at once.
	earlyJoins        = 10
	earlyJoinInterval = 100 * time.Millisecond
	settleTime        = 200 * time.Millisecond
	// handoverWait bounds the last appends before a partition is handed over.
	handoverWait = 500 * time.Millisecond
)

// owner keeps this daemon in the group that divides the partitions, and a runner
// for each partition that it owns.
type owner struct {
	s      *Service
	member string // unique to this process

	mu         sync.Mutex
	generation int64
	runners    map[int]*runner
	held       map[int]func() // releases of the owned partitions' views
	claims     func()         // release of the claims' view, nil while nothing is owned
	contact    time.Duration  // boottime of the start of the last join that was answered
	first      time.Duration  // boottime of the first such join
	draining   bool

	// Used by run alone.
	cleared  bool          // no earlier process of this VM is in the group
	clearing time.Duration // since when they are looked for, 0: not yet
	asked    bool          // of a small VM: it should be in the group
	askAgain time.Duration
	// noteAgain is when the end of the claims' log is looked at again.
	noteAgain time.Duration
}

func newOwner(s *Service) *owner {
	member := memberName(s.options.VM, uuid.NewString(), s.options.Address, s.options.Small)
	return &owner{s: s, member: member, runners: map[int]*runner{}, held: map[int]func(){}}
}

func (o *owner) run(ctx context.Context) {
	for n := 0; ctx.Err() == nil && !o.isDraining(); {
		interval := joinInterval
		if n < earlyJoins {
			interval = earlyJoinInterval
		}
		// Not before orders could be given. Partitions are run one by one as their views
		// are read: waiting for all of them, daemons that start together join over
		// seconds, and each that joins moves partitions which others had begun to run.
		if !o.s.homes.follower.Loaded() {
			pause.For(ctx, loadedLook)
			continue
		}
		if o.wanted(ctx) {
			o.clear(ctx)
			o.join(ctx)
			o.noteClaims(ctx)
			n++
		}
		o.awaitJoin(ctx, interval)
	}
	<-ctx.Done()
	o.stopAll()
}

// clear takes the processes that ran on this VM before out of the group. One that was
// killed keeps its partitions until its TTL has run out, and after the loss of all VMs
// nobody runs any for that time: 1.3 s in which each open step stands still.
//
// Only members that own a partition are listed. After the loss of all VMs the group is
// full of dead members without one, and each partition that a dead owner leaves may go to
// another of them. So the look is repeated until every member of before has timed out.
func (o *owner) clear(ctx context.Context) {
	if o.cleared {
		return
	}
	now := o.s.options.Now()
	if o.clearing == 0 {
		o.clearing = now
	}
	o.cleared = now-o.clearing >= o.s.options.MemberTTL
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	owned, err := o.s.options.Membership.Owners(ctx, ownersGroup)
	if err != nil {
		o.s.options.Logger.Warn().Err(err).Msg("group's members not listed, an earlier process may be one")
		return
	}
	for _, m := range membersOf(owned) {
		if m == o.member || !strings.HasPrefix(m, o.s.options.VM+memberSeparator) {
			continue
		}
		err := o.s.options.Membership.Leave(ctx, ownersGroup, m)
		o.s.options.Logger.Info().Str("member", m).Err(err).Msg("earlier process of this VM taken out of the group")
	}
}

// membersOf returns the members that own a partition, each once.
func membersOf(owned []store.Owned) []string {
	var members []string
	for _, o := range owned {
		members = append(members, o.Member)
	}
	slices.Sort(members)
	return slices.Compact(members)
}

// askOwnersEvery is between two looks of a small VM at who owns the partitions.
const askOwnersEvery = 1 * time.Second

// wanted reports whether this daemon should be in the group. A small VM is too
// slow to run a model's samples, which shows as steps that all come late; it joins
// only while no larger one owns a partition, and leaves when one does.
func (o *owner) wanted(ctx context.Context) bool {
	if !o.s.options.Small {
		return true
	}
	now := o.s.options.Now()
	if now < o.askAgain {
		return o.asked
	}
	o.askAgain = now + askOwnersEvery
	owned, err := o.s.options.Membership.Owners(ctx, ownersGroup)
	if err != nil {
		return o.asked // as before: nothing is known to have changed
	}
	large := slices.ContainsFunc(owned, func(x store.Owned) bool { return !strings.HasSuffix(x.Member, smallMark) })
	if o.asked && large {
		o.stepBack(ctx)
	}
	o.asked = !large
	return o.asked
}

// stepBack hands everything over to larger VMs.
func (o *owner) stepBack(ctx context.Context) {
	o.s.options.Logger.Info().Msg("larger VMs own partitions, leaving the group")
	o.stopAll()
	o.letGo(nil)
	if err := o.s.options.Membership.Leave(ctx, ownersGroup, o.member); err != nil {
		o.s.options.Logger.Warn().Err(err).Msg("group not left; its timeout will tell")
	}
}

func (o *owner) idle() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.runners) == 0
}

func (o *owner) isDraining() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.draining
}

// join keeps the membership and follows the group's division. Partitions that
// were taken away are stopped before the join that lets them go.
func (o *owner) join(ctx context.Context) {
	began := o.s.options.Now()
	a, err := o.call(ctx)
	if err != nil {
		if ctx.Err() == nil {
			o.s.options.Logger.Warn().Err(err).Int64("generation", o.generation).Msg("group not reached")
		}
		return
	}
	o.mu.Lock()
	o.contact = began
	if o.first == 0 {
		o.first = began
	}
	changed := a.Generation != o.generation
	o.generation = a.Generation
	lost := o.takeLostLocked(a)
	o.mu.Unlock()
	for _, r := range lost {
		o.handOver(ctx, r)
	}
	o.letGo(a.Parts)
	if changed {
		o.s.options.Logger.Info().Int64("generation", a.Generation).Ints("parts", a.Parts).Msg("partitions owned")
	}
	o.take(a.Parts)
	o.startLoaded(ctx)
}

// noteClaimsEvery is between two looks of a member that owns nothing at the end of the
// claims' log: a partition that it takes over stands still for so long more at most.
const noteClaimsEvery = 1 * time.Second

// noteClaims keeps the age of the claims known for the partition that this daemon may own
// next.
func (o *owner) noteClaims(ctx context.Context) {
	now := o.s.options.Now()
	if now < o.noteAgain {
		return
	}
	o.noteAgain = now + noteClaimsEvery
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	o.s.orders.noteEnd(ctx)
}

func (o *owner) call(ctx context.Context) (store.Assignment, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	return o.s.options.Membership.Join(ctx, ownersGroup, o.member, batchTopic, o.s.options.MemberTTL, o.generation)
}

func (o *owner) takeLostLocked(a store.Assignment) []*runner {
	var lost []*runner
	for part, r := range o.runners {
		if !slices.Contains(a.Parts, part) {
			lost = append(lost, r)
			delete(o.runners, part)
		}
	}
	return lost
}

func (o *owner) handOver(ctx context.Context, r *runner) {
	ctx, cancel := context.WithTimeout(ctx, handoverWait)
	defer cancel()
	r.stop(ctx)
}

// take has the views of gained partitions followed from now on.
func (o *owner) take(parts []int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.draining || o.s.options.Now()-o.first < settleTime {
		return
	}
	for _, part := range parts {
		if o.held[part] == nil && part < len(o.s.parts) {
			o.held[part] = o.s.parts[part].follower.Hold()
		}
	}
	if len(o.held) > 0 && o.claims == nil {
		o.claims = o.s.orders.follower.Hold()
	}
}

// letGo ends the hold on the views of partitions that aren't owned any more.
func (o *owner) letGo(owned []int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for part, release := range o.held {
		if !slices.Contains(owned, part) {
			release()
			delete(o.held, part)
		}
	}
	if len(o.held) == 0 && o.claims != nil {
		o.claims()
		o.claims = nil
	}
}

// startLoaded runs the owned partitions whose views are whole. It reports whether others
// are still being read.
func (o *owner) startLoaded(ctx context.Context) (waiting bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for part := range o.held {
		switch {
		case o.draining || o.runners[part] != nil:
		case !o.s.parts[part].follower.Loaded() || !o.s.orders.follower.Loaded():
			waiting = true
		default:
			o.runners[part] = newRunner(o.s, o.s.parts[part], o.inTouch)
			o.runners[part].start(ctx)
		}
	}
	return waiting
}

// loadedLook is between two looks whether a view is whole for which a join, or the runs
// of a gained partition, wait.
const loadedLook = 10 * time.Millisecond

// awaitJoin waits between two joins. A partition is run as soon as its view is whole: while
// nobody runs it, each open step stands still.
func (o *owner) awaitJoin(ctx context.Context, interval time.Duration) {
	until := o.s.options.Now() + interval
	for ctx.Err() == nil && o.s.options.Now() < until && o.startLoaded(ctx) {
		pause.For(ctx, loadedLook)
	}
	pause.For(ctx, until-o.s.options.Now())
}

// outOfTouch is the time without an answer of the group after which another
// daemon probably runs this one's partitions. In an outage of the whole store
// nobody does, so runs go on; only new ones aren't started.
const outOfTouch = 3 * time.Second

func (o *owner) inTouch() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.s.options.Now()-o.contact < outOfTouch
}

// drain stops the runners, writes down how far they came and leaves the group. If the
// store is away it tries until the context ends: text that isn't in the log goes with
// this process, and a step whose longest sample is made again from the start is late.
func (o *owner) drain(ctx context.Context) {
	o.mu.Lock()
	o.draining = true
	o.mu.Unlock()
	o.stopRunners(ctx)
	if err := o.s.options.Membership.Leave(ctx, ownersGroup, o.member); err != nil {
		o.s.options.Logger.Warn().Err(err).Msg("group not left; its timeout will tell")
	}
}

func (o *owner) stopAll() {
	ctx, cancel := context.WithTimeout(context.Background(), handoverWait)
	defer cancel()
	o.stopRunners(ctx)
}

func (o *owner) stopRunners(ctx context.Context) {
	o.mu.Lock()
	runners := o.runners
	o.runners = map[int]*runner{}
	o.mu.Unlock()
	var stopping sync.WaitGroup
	for _, r := range runners {
		stopping.Go(func() { r.stop(ctx) })
	}
	stopping.Wait()
}
