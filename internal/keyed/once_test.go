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

var background = context.Background()

// A caller sends a request, its connection breaks, and its HTTP library sends the same key
// through another daemon at the same moment. Both daemons find the key free in what they
// have read of the log.
func TestSameKeyThroughTwoDaemonsRunsOnce(t *testing.T) {
	runScenario(t, 2, func(t *testing.T, _ *fakeLog, up *fakeUpstream, d []daemon) {
		g := NewWithT(t)
		errs := sendConcurrently(d, func(d daemon) error {
			_, _, err := d.Do(background, "s", "k", 1, up.run("k", nil))
			return err
		})
		g.Expect(up.count("k")).To(Equal(1))
		g.Expect(errs).To(ContainElement(BeNil()))
		g.Expect(errs).To(ContainElement(HaveField("Reason", InProgress)))
		time.Sleep(time.Second)
		for _, d := range d {
			response, replayed, err := d.Do(background, "s", "k", 1, up.run("k", nil))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(replayed).To(BeTrue())
			g.Expect(string(response.Body)).To(Equal("booked k"))
			g.Expect(response.Header.Get("X-Booking")).To(Equal("k"))
		}
		g.Expect(up.count("k")).To(Equal(1))
	})
}

func sendConcurrently(d []daemon, send func(daemon) error) []error {
	errs := make([]error, len(d))
	var wg sync.WaitGroup
	for i := range d {
		wg.Go(func() { errs[i] = send(d[i]) })
	}
	wg.Wait()
	return errs
}

// naiveDo looks the key up, appends a claim and runs the request once the append succeeded,
// without reading the claim back.
func naiveDo(log infra.Log, up *fakeUpstream, key string) error {
	page, err := log.Read(background, "", 1, 100, 0)
	if err != nil {
		return err
	}
	fold := claims.NewTable(0)
	for _, r := range page.Records {
		records, _ := claims.DecodeBatch(r.Data)
		fold.Apply(r.Offset, records)
	}
	if fold.Status("s", key).State != claims.Free {
		return errors.New("used")
	}
	data, _ := claims.EncodeBatch([]claims.Record{{Kind: claims.KindClaim, Scope: "s", Key: key, Nonce: "n"}})
	if _, err := log.Append(background, "", [][]byte{data}); err != nil {
		return err
	}
	_, err = up.run(key, nil)(background)
	return err
}

// Checks that the tests detect an implementation that doesn't read its claim back: both
// daemons run the request.
func TestWithoutReadingTheClaimBackRequestRunsTwice(t *testing.T) {
	runScenario(t, 2, func(t *testing.T, log *fakeLog, up *fakeUpstream, d []daemon) {
		sendConcurrently(d, func(daemon) error { return naiveDo(log, up, "k") })
		NewWithT(t).Expect(up.count("k")).To(Equal(2))
	})
}

// The log appends a claim and the response is lost. A daemon that took this for a failure
// would refuse a request whose key then stays held. One that took it for a success might be
// wrong. The daemon must find the claim by reading the log, and the duplicate that it appended
// meanwhile must have no effect.
func TestLostAppendResponseRunsOnce(t *testing.T) {
	runScenario(t, 2, func(t *testing.T, log *fakeLog, up *fakeUpstream, d []daemon) {
		g := NewWithT(t)
		lost := 0
		log.set(func() {
			log.fault = func() (bool, error) { lost++; return lost != 2, infra.ErrUnknown }
		})
		_, _, err := d[0].Do(background, "s", "k", 1, up.run("k", nil))
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(time.Second)
		log.set(func() { log.fault = nil })
		_, replayed, err := d[1].Do(background, "s", "k", 1, up.run("k", nil))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(replayed).To(BeTrue())
		g.Expect(up.count("k")).To(Equal(1))
	})
}

// During an outage of the log a caller must be told at once that its request didn't run and
// when to retry. After the outage the request must run.
func TestLogOutageRefusesAsNotRun(t *testing.T) {
	runScenario(t, 1, func(t *testing.T, log *fakeLog, up *fakeUpstream, d []daemon) {
		g := NewWithT(t)
		log.set(func() { log.down = true })
		start := time.Now()
		_, _, err := d[0].Do(background, "s", "k", 1, up.run("k", nil))
		g.Expect(refusal(err)).To(And(HaveField("Outcome", outcome.NotRun), HaveField("Reason", LogUnavailable)))
		g.Expect(refusal(err).RetryAfter).To(BeNumerically(">", 0))
		g.Expect(time.Since(start)).To(BeNumerically("<", time.Second))
		g.Expect(up.count("k")).To(BeZero())
		log.set(func() { log.down = false })
		time.Sleep(3 * time.Second)
		_, _, err = d[0].Do(background, "s", "k", 1, up.run("k", nil))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(up.count("k")).To(Equal(1))
	})
}

// A daemon is killed after the dispatch and before the response, so it is unknown whether the
// request ran. A retry through another daemon, or through the restarted one, must be told so
// and must not run.
func TestRequestOfKilledDaemonIsNotRunAgain(t *testing.T) {
	runScenario(t, 2, func(t *testing.T, log *fakeLog, up *fakeUpstream, d []daemon) {
		g := NewWithT(t)
		_, _, err := d[0].Do(background, "s", "k", 1, up.run("k", errConnectionLost))
		g.Expect(err).To(MatchError(errConnectionLost))
		d[0].kill()
		restarted := startDaemon(log, "vm-0", 2) // on the same VM
		defer restarted.kill()
		time.Sleep(time.Minute)
		for _, resent := range []daemon{d[1], restarted} {
			_, _, err = resent.Do(background, "s", "k", 1, up.run("k", nil))
			g.Expect(refusal(err)).To(And(HaveField("Outcome", outcome.Unknown), HaveField("Reason", InProgress)))
		}
		g.Expect(up.count("k")).To(Equal(1))
	})
}

// The daemon that claimed the key is suspended between append and dispatch. Its caller gives
// up and sends the key through another daemon. When the first daemon resumes and reads its
// claim as the first one of the key, it must not dispatch the request. It must release the
// claim, so that the next retry runs.
func TestResumedDaemonDoesNotDispatchOldClaim(t *testing.T) {
	runScenario(t, 1, func(t *testing.T, log *fakeLog, up *fakeUpstream, d []daemon) {
		g := NewWithT(t)
		suspended := startDaemon(slowReads{log, 15 * time.Second}, "suspended", 2)
		defer suspended.kill()
		_, _, err := suspended.Do(background, "s", "k", 1, up.run("k", nil))
		g.Expect(refusal(err)).To(HaveField("Outcome", outcome.NotRun))
		_, _, err = d[0].Do(background, "s", "k", 1, up.run("k", nil))
		g.Expect(refusal(err)).To(HaveField("Reason", InProgress), "only the suspended daemon may release its claim")
		g.Expect(up.count("k")).To(BeZero())
		time.Sleep(time.Minute)
		_, _, err = d[0].Do(background, "s", "k", 1, up.run("k", nil))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(up.count("k")).To(Equal(1))
	})
}

// As above, but the claim was decided before the process was suspended. Only the claim's age on
// the monotonic clock shows that the process didn't run.
func TestOldClaimIsReleasedBeforeDispatch(t *testing.T) {
	runScenario(t, 1, func(t *testing.T, _ *fakeLog, up *fakeUpstream, d []daemon) {
		g := NewWithT(t)
		w := &waiter{record: d[0].newClaim("s", "k", 1), queuedAt: time.Now()}
		time.Sleep(defaultMaxClaimAge + time.Millisecond)
		_, err := d[0].dispatch(background, w, up.run("k", nil))
		g.Expect(refusal(err)).To(And(HaveField("Reason", ClaimTooOld), HaveField("Outcome", outcome.NotRun)))
		g.Expect(up.count("k")).To(BeZero())
		g.Expect(d[0].Flush(background)).To(Succeed())
	})
}

// The upstream refuses the connection, so the request certainly didn't run. A retry must run,
// through whichever daemon it comes.
func TestRetryRunsOnAnotherDaemonAfterNotRun(t *testing.T) {
	runScenario(t, 3, func(t *testing.T, _ *fakeLog, up *fakeUpstream, d []daemon) {
		g := NewWithT(t)
		for i := range 2 {
			_, _, err := d[i].Do(background, "s", "k", 1, up.run("k", errNotRun))
			g.Expect(err).To(MatchError(errNotRun))
			time.Sleep(retryAfterInProgress) // as the client is told to
		}
		_, _, err := d[2].Do(background, "s", "k", 1, up.run("k", nil))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(up.count("k")).To(Equal(1))
	})
}

// Two daemons claim a key at the same time, and the winner's upstream refuses the connection.
// The loser's claim is now the first one and must not block the key for good.
func TestLosingClaimDoesNotBlockTheKey(t *testing.T) {
	runScenario(t, 2, func(t *testing.T, _ *fakeLog, up *fakeUpstream, d []daemon) {
		g := NewWithT(t)
		sendConcurrently(d, func(d daemon) error {
			_, _, err := d.Do(background, "s", "k", 1, up.run("k", errNotRun))
			return err
		})
		time.Sleep(retryAfterInProgress)
		_, _, err := d[0].Do(background, "s", "k", 1, up.run("k", nil))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(up.count("k")).To(Equal(1))
	})
}

// The caller's deadline passes while its claim is being appended. The caller is told that the
// request didn't run, so it must not be dispatched later, and the claim must not block the key
// for good.
func TestClaimOfCancelledCallerIsReleased(t *testing.T) {
	runScenario(t, 1, func(t *testing.T, _ *fakeLog, up *fakeUpstream, d []daemon) {
		g := NewWithT(t)
		ctx, cancel := context.WithTimeout(background, 6*time.Millisecond)
		defer cancel()
		_, _, err := d[0].Do(ctx, "s", "k", 1, up.run("k", nil))
		g.Expect(refusal(err)).To(And(HaveField("Reason", Cancelled), HaveField("Outcome", outcome.NotRun)))
		time.Sleep(time.Second)
		g.Expect(up.count("k")).To(BeZero())
		_, _, err = d[0].Do(background, "s", "k", 1, up.run("k", nil))
		g.Expect(err).NotTo(HaveOccurred())
	})
}

func TestRefusals(t *testing.T) {
	runScenario(t, 1, func(t *testing.T, _ *fakeLog, up *fakeUpstream, d []daemon) {
		g := NewWithT(t)
		_, _, err := d[0].Do(background, "s", "", 1, up.run("k", nil))
		g.Expect(refusal(err)).To(HaveField("Reason", InvalidKey))
		_, _, err = d[0].Do(background, "s", "k", 1, up.run("k", nil))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(d[0].Flush(background)).To(Succeed())
		time.Sleep(time.Second)
		_, _, err = d[0].Do(background, "s", "k", 2, up.run("k", nil))
		g.Expect(refusal(err)).To(HaveField("Reason", Conflict))
		d[0].opts.MaxKeys = 1
		_, _, err = d[0].Do(background, "s", "k2", 1, up.run("k2", nil))
		g.Expect(refusal(err)).To(And(HaveField("Reason", Overloaded), HaveField("Outcome", outcome.NotRun)))
	})
}

// Callers send the same keys through three daemons, with random faults of the log and of the
// upstream. No key may run twice, and no attempt may run whose caller was told that it didn't.
func TestRandomFaultsRunEachKeyAtMostOnce(t *testing.T) {
	for seed := range uint64(30) {
		runScenario(t, 3, func(t *testing.T, log *fakeLog, up *fakeUpstream, d []daemon) {
			rng := rand.New(rand.NewPCG(seed, 3))
			faults := rand.New(rand.NewPCG(seed, 4)) // guarded by fakeLog.mu
			log.set(func() { log.fault = func() (bool, error) { return randomFault(faults) } })
			var wg sync.WaitGroup
			for i := range 60 {
				key := fmt.Sprint("k", rng.IntN(12))
				runErr := []error{nil, nil, errNotRun, errConnectionLost}[rng.IntN(4)]
				to, timeout := d[rng.IntN(3)], time.Duration(1+rng.IntN(400))*time.Millisecond
				wg.Go(func() { sendAndCheck(t, to, up, key, fmt.Sprint(key, "/", i), runErr, timeout) })
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

func sendAndCheck(t *testing.T, to daemon, up *fakeUpstream, key, attempt string, runErr error, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(background, timeout)
	defer cancel()
	run := up.run(key, runErr)
	_, _, err := to.Do(ctx, "s", key, 1, func(ctx context.Context) (r *upstreamResponse, err error) {
		up.run(attempt, runErr)(ctx)
		return run(ctx)
	})
	if e := refusal(err); e != nil && e.Outcome == outcome.NotRun && up.count(attempt) != 0 {
		t.Errorf("the caller of attempt %s was told that it didn't run, but it ran", attempt)
	}
}

// A daemon's read asks for records past the log's retention. It must continue at the oldest
// record that is kept, and keys of kept records must stay protected.
func TestReaderBehindRetentionContinuesAtOldestRecord(t *testing.T) {
	runScenario(t, 1, func(t *testing.T, log *fakeLog, up *fakeUpstream, d []daemon) {
		g := NewWithT(t)
		var next ident.Offset
		for _, key := range []string{"old", "new"} {
			log.set(func() { next = ident.Offset(len(log.records) + 1) })
			_, _, err := d[0].Do(background, "s", key, 1, up.run(key, nil))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(d[0].Flush(background)).To(Succeed())
		}
		log.set(func() { log.first = next })
		late := startDaemon(log, "late", 2)
		defer late.kill()
		time.Sleep(time.Second)
		_, replayed, err := late.Do(background, "s", "new", 1, up.run("new", nil))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(replayed).To(BeTrue())
		g.Expect(late.KeyCount()).To(Equal(1))
	})
}
