package claims

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Batcher", func() {
	start := time.Unix(1000, 0)
	opts := BatcherOptions{BatchDelay: 5 * time.Millisecond, AppendsPerSecond: 200, Burst: time.Second, MaxClaims: 10, MaxOutcomes: 2}
	claim := func(nonce string) Record { return Record{Kind: KindClaim, Key: "k", Nonce: nonce} }

	It("appends the records queued within the batch delay together", func() {
		b := NewBatcher(opts, start)
		Expect(b.AddClaim(claim("a"), start)).To(Succeed())
		_, wait := b.NextBatch(start, 1)
		Expect(wait).To(Equal(5 * time.Millisecond))
		Expect(b.AddClaim(claim("b"), start.Add(time.Millisecond))).To(Succeed())
		batch, _ := b.NextBatch(start.Add(5*time.Millisecond), 1)
		Expect(batch).To(HaveLen(2))
	})

	It("keeps the appends of all daemons together within the budget", func() {
		const daemons = 40
		b, now, appends := NewBatcher(opts, start), start, 0
		for now.Before(start.Add(10 * time.Second)) {
			if b.Pending() == 0 {
				Expect(b.AddClaim(claim("n"), now)).To(Succeed())
			}
			if batch, _ := b.NextBatch(now, daemons); batch != nil {
				appends++
				b.FinishAppend(Appended, now)
			}
			now = now.Add(time.Millisecond)
		}
		Expect(appends * daemons).To(BeNumerically("<=", 200*(10+1)))
	})

	// After a lost answer it is unknown whether the claims are in the log. If they were refused
	// as not run, they might still hold their keys; if they were taken for written, they might
	// be missing. They are sent again, and the claims read back decide.
	It("sends claims again after a lost answer, and refuses them if they certainly weren't written", func() {
		b := NewBatcher(opts, start)
		Expect(b.AddClaim(claim("a"), start)).To(Succeed())
		now := start.Add(time.Second)
		b.NextBatch(now, 1)
		Expect(b.FinishAppend(AppendUnknown, now)).To(BeEmpty())
		now = now.Add(time.Second)
		batch, _ := b.NextBatch(now, 1)
		Expect(batch).To(HaveLen(1))
		Expect(b.FinishAppend(NotAppended, now)).To(Equal([]string{"a"}))
		Expect(b.Pending()).To(BeZero())
	})

	It("doesn't resend a claim that was removed while in flight", func() {
		b := NewBatcher(opts, start)
		Expect(b.AddClaim(claim("a"), start)).To(Succeed())
		b.NextBatch(start.Add(time.Second), 1)
		b.RemoveClaim("a")
		Expect(b.FinishAppend(AppendUnknown, start)).To(BeEmpty())
		Expect(b.Pending()).To(BeZero())
	})

	It("drops done records before releases when too many are queued, and retries with a backoff", func() {
		b := NewBatcher(opts, start)
		for _, kind := range []Kind{KindRelease, KindDone, KindRelease} {
			b.AddOutcome(Record{Kind: kind}, start)
		}
		now := start.Add(time.Second)
		batch, _ := b.NextBatch(now, 1)
		Expect(batch).To(HaveLen(2))
		Expect(batch).To(HaveEach(HaveField("Kind", KindRelease)))
		b.FinishAppend(NotAppended, now)
		_, wait := b.NextBatch(now, 1)
		Expect(wait).To(Equal(minOutcomeBackoff))
	})
})

func FuzzDecodeBatch(f *testing.F) {
	f.Add([]byte(`[{"kind":"claim","scope":"t/r","key":"k","nonce":"n","vm":"v"}]`))
	f.Add([]byte(`[{"kind":"done","scope":"s","key":"k","nonce":"n","vm":"v","answer":{"status":200,"body":"b2s="}}] x`))
	f.Fuzz(func(t *testing.T, data []byte) {
		records, err := DecodeBatch(data)
		if err != nil {
			return
		}
		if _, err := EncodeBatch(records); err != nil {
			t.Fatalf("decoded batch doesn't encode again: %v", err)
		}
	})
}
