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
	// joinInterval is the time between two Join calls, which renew this daemon's
	// membership. If the group reassigns a partition without notice, two daemons run it
	// for up to this long.
	joinInterval = 300 * time.Millisecond
	// joinTimeout leaves time for two more calls within the member's TTL when answers
	// are lost. A slow store answers within 250 ms.
	joinTimeout = 400 * time.Millisecond
	// The first earlyJoins calls are made at the shorter interval, and no partition is
	// taken over before settleDelay has passed: when all daemons start together, the
	// first to join is assigned every partition and loses most of them at once.
	earlyJoins        = 10
	earlyJoinInterval = 100 * time.Millisecond
	settleDelay       = 200 * time.Millisecond
	// handoverTimeout bounds the last appends before a partition is handed over.
	handoverTimeout = 500 * time.Millisecond
)

// owner keeps this daemon a member of the group that assigns the partitions, and keeps
// a runner for each partition that the daemon owns.
type owner struct {
	s      *Service
	member string // member name, unique to this process

	mu            sync.Mutex
	generation    int64           // of the last assignment received
	runners       map[int]*runner // by partition
	releases      map[int]func()  // by owned partition, releases the hold on its view
	releaseClaims func()          // releases the hold on the claims view, nil while no partition is owned
	lastContact   time.Duration   // start of the last Join call that was answered, boot time
	firstContact  time.Duration   // start of the first such call, boot time, 0 for none
	draining      bool

	// Used only by run.
	staleMembersRemoved bool          // no earlier process of this VM can be in the group
	cleanupStart        time.Duration // when the search for such processes began, 0 for not yet
	joinWanted          bool          // on a small VM: this daemon should be in the group
	nextOwnersCheck     time.Duration // on a small VM: when the owners are listed again
	nextLogEndCheck     time.Duration // when the end of the claims log is read again
}

func newOwner(s *Service) *owner {
	member := memberName(s.options.VM, uuid.NewString(), s.options.Address, s.options.Small)
	return &owner{s: s, member: member, runners: map[int]*runner{}, releases: map[int]func(){}}
}

// run renews the membership until the daemon drains, and stops all runners when the
// context ends.
func (o *owner) run(ctx context.Context) {
	for n := 0; ctx.Err() == nil && !o.isDraining(); {
		interval := joinInterval
		if n < earlyJoins {
			interval = earlyJoinInterval
		}
		// Join as soon as the models' partitions are known. The views of the assigned
		// partitions are loaded afterwards, and each is run once its own is. If a daemon
		// joined only once all views were loaded, daemons that start together would join
		// over several seconds, and each join would move partitions that others had begun
		// to run.
		if !o.s.modelPartitions.follower.Loaded() {
			pause.For(ctx, loadedPollInterval)
			continue
		}
		if o.shouldJoin(ctx) {
			o.removeStaleMembers(ctx)
			o.join(ctx)
			o.recordLogEnd(ctx)
			n++
		}
		o.waitForNextJoin(ctx, interval)
	}
	<-ctx.Done()
	o.stopAll()
}

// removeStaleMembers removes earlier processes of this VM from the group. A killed
// process keeps its partitions until its TTL expires. After the loss of all VMs no
// partition would run for that time: 1.3 s in which no open step makes progress.
//
// The store lists only members that own a partition. After the loss of all VMs the group
// is full of dead members that own none, and a partition that a dead owner gives up may
// be assigned to another of them. So the check is repeated until every earlier member
// has timed out.
func (o *owner) removeStaleMembers(ctx context.Context) {
	if o.staleMembersRemoved {
		return
	}
	now := o.s.options.Now()
	if o.cleanupStart == 0 {
		o.cleanupStart = now
	}
	o.staleMembersRemoved = now-o.cleanupStart >= o.s.options.MemberTTL
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	owned, err := o.s.options.Membership.Owners(ctx, ownersGroup)
	if err != nil {
		o.s.options.Logger.Warn().Err(err).Msg("failed to list group members; an earlier process of this VM may still be one")
		return
	}
	for _, m := range membersOf(owned) {
		if m == o.member || !strings.HasPrefix(m, o.s.options.VM+memberSeparator) {
			continue
		}
		err := o.s.options.Membership.Leave(ctx, ownersGroup, m)
		o.s.options.Logger.Info().Str("member", m).Err(err).Msg("removing an earlier process of this VM from the group")
	}
}

// membersOf returns the members that own a partition, each once.
func membersOf(owned []store.PartitionOwner) []string {
	var members []string
	for _, o := range owned {
		members = append(members, o.Member)
	}
	slices.Sort(members)
	return slices.Compact(members)
}

// ownersCheckInterval is how often a small VM lists the partition owners.
const ownersCheckInterval = 1 * time.Second

// shouldJoin reports whether this daemon should be in the group. A small VM is too
// slow to run a model's samples: all of its steps finish late. It joins only while no
// larger VM owns a partition, and leaves when one does.
func (o *owner) shouldJoin(ctx context.Context) bool {
	if !o.s.options.Small {
		return true
	}
	now := o.s.options.Now()
	if now < o.nextOwnersCheck {
		return o.joinWanted
	}
	o.nextOwnersCheck = now + ownersCheckInterval
	owned, err := o.s.options.Membership.Owners(ctx, ownersGroup)
	if err != nil {
		return o.joinWanted // keep the last decision: no change is known
	}
	large := slices.ContainsFunc(owned, func(x store.PartitionOwner) bool { return !strings.HasSuffix(x.Member, smallSuffix) })
	if o.joinWanted && large {
		o.yieldToLargerVMs(ctx)
	}
	o.joinWanted = !large
	return o.joinWanted
}

// yieldToLargerVMs hands all partitions over and leaves the group.
func (o *owner) yieldToLargerVMs(ctx context.Context) {
	o.s.options.Logger.Info().Msg("larger VMs own partitions, leaving the group")
	o.stopAll()
	o.releaseViews(nil)
	if err := o.s.options.Membership.Leave(ctx, ownersGroup, o.member); err != nil {
		o.s.options.Logger.Warn().Err(err).Msg("failed to leave the group; membership will time out")
	}
}

func (o *owner) ownsNothing() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.runners) == 0
}

func (o *owner) isDraining() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.draining
}

// join renews the membership and applies the assignment. The runner of a partition that
// was taken away is stopped before the next Join call, which confirms the loss and lets
// the group pass the partition on.
func (o *owner) join(ctx context.Context) {
	began := o.s.options.Now()
	a, err := o.sendJoin(ctx)
	if err != nil {
		if ctx.Err() == nil {
			o.s.options.Logger.Warn().Err(err).Int64("generation", o.generation).Msg("group not reached")
		}
		return
	}
	o.mu.Lock()
	o.lastContact = began
	if o.firstContact == 0 {
		o.firstContact = began
	}
	changed := a.Generation != o.generation
	o.generation = a.Generation
	lost := o.removeLostLocked(a)
	o.mu.Unlock()
	for _, r := range lost {
		o.handOver(ctx, r)
	}
	o.releaseViews(a.Partitions)
	if changed {
		o.s.options.Logger.Info().Int64("generation", a.Generation).Ints("parts", a.Partitions).Msg("partitions owned")
	}
	o.holdViews(a.Partitions)
	o.startRunners(ctx)
}

// logEndCheckInterval is how often a member that owns no partition reads the end of the
// claims log. A longer interval overstates the time for which the claims in it still
// block, so loads for a partition that is taken over start up to this much later.
const logEndCheckInterval = 1 * time.Second

// recordLogEnd notes where the claims log ends now, so that the ages of its claims are
// known when this daemon takes a partition over.
func (o *owner) recordLogEnd(ctx context.Context) {
	now := o.s.options.Now()
	if now < o.nextLogEndCheck {
		return
	}
	o.nextLogEndCheck = now + logEndCheckInterval
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	o.s.loader.recordLogEnd(ctx)
}

func (o *owner) sendJoin(ctx context.Context) (store.Assignment, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	return o.s.options.Membership.Join(ctx, ownersGroup, o.member, batchTopic, o.s.options.MemberTTL, o.generation)
}

// removeLostLocked removes and returns the runners of partitions that the assignment
// doesn't include.
func (o *owner) removeLostLocked(a store.Assignment) []*runner {
	var lost []*runner
	for part, r := range o.runners {
		if !slices.Contains(a.Partitions, part) {
			lost = append(lost, r)
			delete(o.runners, part)
		}
	}
	return lost
}

// handOver stops a runner and waits for its last appends.
func (o *owner) handOver(ctx context.Context, r *runner) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	r.stop(ctx)
}

// holdViews begins to follow the views of newly assigned partitions.
func (o *owner) holdViews(parts []int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.draining || o.s.options.Now()-o.firstContact < settleDelay {
		return
	}
	for _, part := range parts {
		if o.releases[part] == nil && part < len(o.s.partitions) {
			o.releases[part] = o.s.partitions[part].follower.Hold()
		}
	}
	if len(o.releases) > 0 && o.releaseClaims == nil {
		o.releaseClaims = o.s.loader.follower.Hold()
	}
}

// releaseViews releases the views of partitions that are no longer owned.
func (o *owner) releaseViews(owned []int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for part, release := range o.releases {
		if !slices.Contains(owned, part) {
			release()
			delete(o.releases, part)
		}
	}
	if len(o.releases) == 0 && o.releaseClaims != nil {
		o.releaseClaims()
		o.releaseClaims = nil
	}
}

// startRunners starts a runner for each owned partition whose view is loaded. It reports
// whether views of others are still loading.
func (o *owner) startRunners(ctx context.Context) (waiting bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for part := range o.releases {
		switch {
		case o.draining || o.runners[part] != nil:
		case !o.s.partitions[part].follower.Loaded() || !o.s.loader.follower.Loaded():
			waiting = true
		default:
			o.runners[part] = newRunner(o.s, o.s.partitions[part], o.inContact)
			o.runners[part].start(ctx)
		}
	}
	return waiting
}

// loadedPollInterval is how often views are checked while joining, or running a newly
// assigned partition, waits for them to load.
const loadedPollInterval = 10 * time.Millisecond

// waitForNextJoin waits for the interval between two joins. Meanwhile it starts the
// runner of a partition as soon as its view is loaded: the partition's open steps make no
// progress before that.
func (o *owner) waitForNextJoin(ctx context.Context, interval time.Duration) {
	until := o.s.options.Now() + interval
	for ctx.Err() == nil && o.s.options.Now() < until && o.startRunners(ctx) {
		pause.For(ctx, loadedPollInterval)
	}
	pause.For(ctx, until-o.s.options.Now())
}

// contactTimeout is how long Join calls may go unanswered before another daemon has
// probably taken over this one's partitions. In an outage of the whole store no daemon
// has, so current runs continue and only new ones are held back.
const contactTimeout = 3 * time.Second

func (o *owner) inContact() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.s.options.Now()-o.lastContact < contactTimeout
}

// drain stops the runners, saves their progress and leaves the group. If the store is
// unavailable it retries until the context ends: text that isn't in the log is lost with
// this process, and a step whose longest sample has to be generated from the start again
// finishes late.
func (o *owner) drain(ctx context.Context) {
	o.mu.Lock()
	o.draining = true
	o.mu.Unlock()
	o.stopRunners(ctx)
	if err := o.s.options.Membership.Leave(ctx, ownersGroup, o.member); err != nil {
		o.s.options.Logger.Warn().Err(err).Msg("failed to leave the group; membership will time out")
	}
}

// stopAll stops all runners within handoverTimeout.
func (o *owner) stopAll() {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
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
