package keyed

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/claims"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/infra"
	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
)

var bg = context.Background()

// A coach's order confirmation is sent, the caller's connection breaks, and its
// library sends the same key again through another daemon at the same moment.
// Both daemons find the key free in what they have read.
func TestSameKeyThroughTwoDaemonsRunsOnce(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, _ *fakeLog, up *service, d []daemon) {
		g := NewWithT(t)
		errs := sendAtOnce(d, func(d daemon) error {
			_, _, err := d.Do(bg, "s", "k", 1, up.run("k", nil))
			return err
		})
		g.Expect(up.count("k")).To(Equal(1))
		g.Expect(errs).To(ContainElement(BeNil()))
		g.Expect(errs).To(ContainElement(HaveField("Reason", InProgress)))
		time.Sleep(time.Second)
		for _, d := range d {
			answer, replayed, err := d.Do(bg, "s", "k", 1, up.run("k", nil))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(replayed).To(BeTrue())
			g.Expect(string(answer.Body)).To(Equal("booked k"))
			g.Expect(answer.Header.Get("X-Booking")).To(Equal("k"))
		}
		g.Expect(up.count("k")).To(Equal(1))
	})
}

func sendAtOnce(d []daemon, send func(daemon) error) []error {
	errs := make([]error, len(d))
	var wg sync.WaitGroup
	for i := range d {
		wg.Go(func() { errs[i] = send(d[i]) })
	}
	wg.Wait()
	return errs
}

// naiveDo looks the key up, appends its claim and trusts the append's answer.
func naiveDo(log infra.Log, up *service, key string) error {
	page, err := log.Read(bg, "", 1, 100, 0)
	if err != nil {
		return err
	}
	fold := claims.NewFold(0)
	for _, r := range page.Records {
		records, _ := claims.DecodeBatch(r.Data)
		fold.Apply(r.Offset, records)
	}
	if fold.Status("s", key).State != claims.Free {
		return errors.New("used")
	}
	data, _ := claims.EncodeBatch([]claims.Record{{Kind: claims.KindClaim, Scope: "s", Key: key, Nonce: "n"}})
	if _, err := log.Append(bg, "", [][]byte{data}); err != nil {
		return err
	}
	_, err = up.run(key, nil)(bg)
	return err
}

// The same counter catches the version that doesn't read its claim back.
func TestCheckThenAppendWithoutReadBackRunsTwice(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, log *fakeLog, up *service, d []daemon) {
		sendAtOnce(d, func(daemon) error { return naiveDo(log, up, "k") })
		NewWithT(t).Expect(up.count("k")).To(Equal(2))
	})
}

// The log appends a claim and its answer is lost. A daemon that takes this for a
// failure refuses a request whose key then stays held; one that takes it for
// success guesses. Reading on finds the claim, and the copy sent meanwhile is void.
func TestLostAppendAnswerStillRunsOnce(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, log *fakeLog, up *service, d []daemon) {
		g := NewWithT(t)
		lost := 0
		log.set(func() {
			log.fault = func() (bool, error) { lost++; return lost != 2, infra.ErrUnknown }
		})
		_, _, err := d[0].Do(bg, "s", "k", 1, up.run("k", nil))
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(time.Second)
		log.set(func() { log.fault = nil })
		_, replayed, err := d[1].Do(bg, "s", "k", 1, up.run("k", nil))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(replayed).To(BeTrue())
		g.Expect(up.count("k")).To(Equal(1))
	})
}

// The log has an outage. The caller is told at once that nothing ran and when to
// come back, and its request runs after the outage.
func TestLogDownRefusesAsNotRun(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, log *fakeLog, up *service, d []daemon) {
		g := NewWithT(t)
		log.set(func() { log.down = true })
		start := time.Now()
		_, _, err := d[0].Do(bg, "s", "k", 1, up.run("k", nil))
		g.Expect(refusal(err)).To(And(HaveField("Outcome", outcome.NotRun), HaveField("Reason", LogUnavailable)))
		g.Expect(refusal(err).RetryAfter).To(BeNumerically(">", 0))
		g.Expect(time.Since(start)).To(BeNumerically("<", time.Second))
		g.Expect(up.count("k")).To(BeZero())
		log.set(func() { log.down = false })
		time.Sleep(3 * time.Second)
		_, _, err = d[0].Do(bg, "s", "k", 1, up.run("k", nil))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(up.count("k")).To(Equal(1))
	})
}

// A daemon is killed after the dispatch, before the answer. Nobody knows whether
// the booking was made. The resend at another daemon, also one that started later,
// must be told so and not be run.
func TestKilledAfterDispatchIsNeverRunAgain(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, log *fakeLog, up *service, d []daemon) {
		g := NewWithT(t)
		_, _, err := d[0].Do(bg, "s", "k", 1, up.run("k", errCut))
		g.Expect(err).To(MatchError(errCut))
		d[0].kill()
		late := startDaemon(log, "vm-0", 2) // the same VM, started again
		defer late.kill()
		time.Sleep(time.Minute)
		for _, resent := range []daemon{d[1], late} {
			_, _, err = resent.Do(bg, "s", "k", 1, up.run("k", nil))
			g.Expect(refusal(err)).To(And(HaveField("Outcome", outcome.Unknown), HaveField("Reason", InProgress)))
		}
		g.Expect(up.count("k")).To(Equal(1))
	})
}

// The key's home is frozen between append and dispatch. Its caller goes and sends
// the key again elsewhere. The home wakes up, reads its claim as the first one, and
// must not act on it; its release lets the next resend run.
func TestFrozenHomeDoesNotDispatchWhenItWakes(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, log *fakeLog, up *service, d []daemon) {
		g := NewWithT(t)
		frozen := startDaemon(slowReads{log, 15 * time.Second}, "frozen", 2)
		defer frozen.kill()
		_, _, err := frozen.Do(bg, "s", "k", 1, up.run("k", nil))
		g.Expect(refusal(err)).To(HaveField("Outcome", outcome.NotRun))
		_, _, err = d[0].Do(bg, "s", "k", 1, up.run("k", nil))
		g.Expect(refusal(err)).To(HaveField("Reason", InProgress), "only the home itself may release its claim")
		g.Expect(up.count("k")).To(BeZero())
		time.Sleep(time.Minute)
		_, _, err = d[0].Do(bg, "s", "k", 1, up.run("k", nil))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(up.count("k")).To(Equal(1))
	})
}

// As above, with the verdict already there when the process wakes: only the age
// on the monotonic clock tells that it slept.
func TestOldClaimIsReleasedJustBeforeTheDispatch(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, _ *fakeLog, up *service, d []daemon) {
		g := NewWithT(t)
		w := &waiter{record: d[0].newClaim("s", "k", 1), since: time.Now()}
		time.Sleep(defaultMaxClaimAge + time.Millisecond)
		_, err := d[0].dispatch(bg, w, up.run("k", nil))
		g.Expect(refusal(err)).To(And(HaveField("Reason", ClaimTooOld), HaveField("Outcome", outcome.NotRun)))
		g.Expect(up.count("k")).To(BeZero())
		g.Expect(d[0].Flush(bg)).To(Succeed())
	})
}

// The upstream refuses the connection: certainly not run. The resend must run, at
// whichever daemon the changed membership makes the key's home.
func TestReleaseAfterNotRunLetsAResendRunElsewhere(t *testing.T) {
	inBubble(t, 3, func(t *testing.T, _ *fakeLog, up *service, d []daemon) {
		g := NewWithT(t)
		for i := range 2 {
			_, _, err := d[i].Do(bg, "s", "k", 1, up.run("k", errNotRun))
			g.Expect(err).To(MatchError(errNotRun))
			time.Sleep(retryAfterInProgress) // as a client that is told to wait would
		}
		_, _, err := d[2].Do(bg, "s", "k", 1, up.run("k", nil))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(up.count("k")).To(Equal(1))
	})
}

// Two daemons race for a key, and the winner's upstream refuses the connection. The
// loser's claim, next in line now, must not block the key for good.
func TestLosersClaimDoesNotBlockTheKey(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, _ *fakeLog, up *service, d []daemon) {
		g := NewWithT(t)
		sendAtOnce(d, func(d daemon) error {
			_, _, err := d.Do(bg, "s", "k", 1, up.run("k", errNotRun))
			return err
		})
		time.Sleep(retryAfterInProgress)
		_, _, err := d[0].Do(bg, "s", "k", 1, up.run("k", nil))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(up.count("k")).To(Equal(1))
	})
}

// The caller's deadline passes while its claim is on the way to the log. It is told
// "not run", so the claim must not be dispatched later, nor block the key for good.
func TestCallerGoneBeforeTheClaimIsReadBack(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, _ *fakeLog, up *service, d []daemon) {
		g := NewWithT(t)
		ctx, cancel := context.WithTimeout(bg, 6*time.Millisecond)
		defer cancel()
		_, _, err := d[0].Do(ctx, "s", "k", 1, up.run("k", nil))
		g.Expect(refusal(err)).To(And(HaveField("Reason", Cancelled), HaveField("Outcome", outcome.NotRun)))
		time.Sleep(time.Second)
		g.Expect(up.count("k")).To(BeZero())
		_, _, err = d[0].Do(bg, "s", "k", 1, up.run("k", nil))
		g.Expect(err).NotTo(HaveOccurred())
	})
}

func TestRefusalsOfAKey(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, _ *fakeLog, up *service, d []daemon) {
		g := NewWithT(t)
		_, _, err := d[0].Do(bg, "s", "", 1, up.run("k", nil))
		g.Expect(refusal(err)).To(HaveField("Reason", InvalidKey))
		_, _, err = d[0].Do(bg, "s", "k", 1, up.run("k", nil))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(d[0].Flush(bg)).To(Succeed())
		time.Sleep(time.Second)
		_, _, err = d[0].Do(bg, "s", "k", 2, up.run("k", nil))
		g.Expect(refusal(err)).To(HaveField("Reason", Conflict))
		d[0].opts.MaxKeys = 1
		_, _, err = d[0].Do(bg, "s", "k2", 1, up.run("k2", nil))
		g.Expect(refusal(err)).To(And(HaveField("Reason", Overloaded), HaveField("Outcome", outcome.NotRun)))
	})
}

// Random faults of the log and of the upstream, and callers that send the same keys
// through three daemons: no key runs twice, and no attempt that was called "not
// run" ran.
func TestRandomSessionsRunEachKeyAtMostOnce(t *testing.T) {
	for seed := range uint64(30) {
		inBubble(t, 3, func(t *testing.T, log *fakeLog, up *service, d []daemon) {
			rng := rand.New(rand.NewPCG(seed, 3))
			faults := rand.New(rand.NewPCG(seed, 4)) // guarded by the log's lock
			log.set(func() { log.fault = func() (bool, error) { return randomFault(faults) } })
			var wg sync.WaitGroup
			for i := range 60 {
				key := fmt.Sprint("k", rng.IntN(12))
				runErr := []error{nil, nil, errNotRun, errCut}[rng.IntN(4)]
				to, patience := d[rng.IntN(3)], time.Duration(1+rng.IntN(400))*time.Millisecond
				wg.Go(func() { sendAndCheck(t, to, up, key, fmt.Sprint(key, "/", i), runErr, patience) })
				time.Sleep(time.Duration(rng.IntN(40)) * time.Millisecond)
			}
			wg.Wait()
			for i := range 12 {
				NewWithT(t).Expect(up.count(fmt.Sprint("k", i))).To(BeNumerically("<=", 1), "seed %d key %d", seed, i)
			}
		})
	}
}

func randomFault(rng *rand.Rand) (bool, error) {
	switch rng.IntN(6) {
	case 0:
		return false, infra.ErrUnavailable
	case 1:
		return true, infra.ErrUnknown
	case 2:
		return false, infra.ErrUnknown
	}
	return true, nil
}

func sendAndCheck(t *testing.T, to daemon, up *service, key, attempt string, runErr error, patience time.Duration) {
	ctx, cancel := context.WithTimeout(bg, patience)
	defer cancel()
	run := up.run(key, runErr)
	_, _, err := to.Do(ctx, "s", key, 1, func(ctx context.Context) (r *upstreamResponse, err error) {
		up.run(attempt, runErr)(ctx)
		return run(ctx)
	})
	if e := refusal(err); e != nil && e.Outcome == outcome.NotRun && up.count(attempt) != 0 {
		t.Errorf("attempt %s was called not run, but ran", attempt)
	}
}

// The reader starts, or falls, behind the retention: it goes on at the oldest
// record kept. Keys protected by kept records stay protected.
func TestReaderBehindRetentionGoesOnAtFirst(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, log *fakeLog, up *service, d []daemon) {
		g := NewWithT(t)
		var next ident.Offset
		for _, key := range []string{"old", "new"} {
			log.set(func() { next = ident.Offset(len(log.records) + 1) })
			_, _, err := d[0].Do(bg, "s", key, 1, up.run(key, nil))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(d[0].Flush(bg)).To(Succeed())
		}
		log.set(func() { log.first = next })
		late := startDaemon(log, "late", 2)
		defer late.kill()
		time.Sleep(time.Second)
		_, replayed, err := late.Do(bg, "s", "new", 1, up.run("new", nil))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(replayed).To(BeTrue())
		g.Expect(late.Keys()).To(Equal(1))
	})
}
