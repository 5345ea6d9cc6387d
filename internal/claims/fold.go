// Package claims decides which attempt may run a request that carries an
// idempotency key. It is pure: records of the log's claims stream and the
// time go in, the state of each key comes out.
//
// # Rule
//
// A key's claims stand in the log's order. The first one that is neither
// released nor past the log's retention holds the key, and only the daemon that
// wrote it may dispatch, once, after it has read the claim back. Nobody but the
// writer of a claim releases it, and only when it knows that nothing ran and
// that it will never dispatch under that nonce.
//
// # Why later claims stay in the line
//
// Daemons trim at the retention's end at different moments. Suppose claim O is
// about to expire when M is appended. One daemon reads M while O is kept, sees
// it lose and, if losers were dropped, finds the key free once O expires. The
// writer of M reads M back after O expired and sees it win. Both would run the
// request. With M kept in line, the first daemon finds the key held by M.
// A loser's writer therefore releases its claim explicitly.
//
// # How long a key protects
//
// As long as the log keeps its claim, or its done record when there is one: the
// retention of the claims stream, counted from the append. A key that comes
// again later than that runs again. The same holds for a reader that fell
// behind the retention: all it lost concerned keys whose protection had ended.
package claims

import (
	"slices"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// State is what is known of a key.
type State int

// The states of a key.
const (
	Free     State = iota // nobody may have run it within the retention
	Held                  // a claim stands; its request may have run or be running
	Finished              // its request ran and was answered
)

// Status is a key's state with its particulars.
type Status struct {
	State    State
	Nonce    string   // holder's, when Held or Finished
	VM       ident.VM // holder's
	BodyHash uint64   // holder's
	Answer   *Answer  // Finished: nil when the answer wasn't kept. Read only.
}

// Verdict tells how a claim stood at its place in the log.
type Verdict struct {
	Nonce  string
	Scope  string
	Key    string
	Won    bool
	Status Status // the key's state just behind the claim
}

type id struct{ scope, key string }

type claim struct {
	nonce    string
	vm       ident.VM
	bodyHash uint64
	offset   ident.Offset
}

type done struct {
	claim
	answer *Answer
}

// entry is one key: its unreleased claims and its done records, both in the
// log's order and with the copies that repeated appends left. A copy outlives the
// first one at the retention's end, so that a key's state depends on nothing but
// the records from First on: daemons that read as far agree, whenever they began.
type entry struct {
	line  []claim
	dones []*done
}

func (e *entry) empty() bool { return len(e.line) == 0 && len(e.dones) == 0 }

// has reports whether the entry still holds a record of that offset.
func (e *entry) has(offset ident.Offset) bool {
	for _, d := range e.dones {
		if d.offset == offset {
			return true
		}
	}
	for _, c := range e.line {
		if c.offset == offset {
			return true
		}
	}
	return false
}

// mark remembers that a record at an offset concerns a key, for Trim.
type mark struct {
	offset ident.Offset
	id     id
}

// Fold is the state of all keys. Not safe for concurrent use.
type Fold struct {
	entries        map[id]*entry
	marks          []mark // ascending by offset
	answers        []mark // done records that still hold their answer, ascending
	answerBytes    int
	maxAnswerBytes int
}

// NewFold returns an empty fold that holds at most maxAnswerBytes of answers;
// beyond that the oldest answers go, while their keys stay done.
func NewFold(maxAnswerBytes int) *Fold {
	return &Fold{entries: map[id]*entry{}, maxAnswerBytes: maxAnswerBytes}
}

// Len returns the number of keys that aren't free.
func (f *Fold) Len() int { return len(f.entries) }

// Apply folds in the batch at an offset. Batches come in the log's order, and
// Trim with the First of the page comes before Apply of its records. It returns
// a verdict for each claim that is new, not for the copy of one that stands (its
// append was repeated after a lost answer).
func (f *Fold) Apply(offset ident.Offset, records []Record) []Verdict {
	var verdicts []Verdict
	for i := range records {
		r := &records[i]
		switch r.Kind {
		case KindClaim:
			if f.applyClaim(offset, r) {
				verdicts = append(verdicts, f.verdict(r))
			}
		case KindRelease:
			f.applyRelease(r)
		case KindDone:
			f.applyDone(offset, r)
		}
	}
	f.boundAnswers()
	f.compact()
	return verdicts
}

func (f *Fold) verdict(r *Record) Verdict {
	s := f.Status(r.Scope, r.Key)
	won := s.State == Held && s.Nonce == r.Nonce
	return Verdict{Nonce: r.Nonce, Scope: r.Scope, Key: r.Key, Won: won, Status: s}
}

func (f *Fold) applyClaim(offset ident.Offset, r *Record) bool {
	e := f.entry(r)
	fresh := !slices.ContainsFunc(e.line, func(c claim) bool { return c.nonce == r.Nonce })
	e.line = append(e.line, claimOf(offset, r))
	f.marks = append(f.marks, mark{offset, idOf(r)})
	return fresh
}

// applyRelease takes the nonce's own claim and its copies out of the line.
func (f *Fold) applyRelease(r *Record) {
	e, ok := f.entries[idOf(r)]
	if !ok {
		return
	}
	e.line = slices.DeleteFunc(e.line, func(c claim) bool { return c.nonce == r.Nonce })
	f.dropIfEmpty(idOf(r), e)
}

func (f *Fold) applyDone(offset ident.Offset, r *Record) {
	e := f.entry(r)
	e.dones = append(e.dones, &done{claim: claimOf(offset, r), answer: r.Answer})
	f.marks = append(f.marks, mark{offset, idOf(r)})
	if r.Answer != nil {
		f.answers = append(f.answers, mark{offset, idOf(r)})
		f.answerBytes += r.Answer.size()
	}
}

// Status returns a key's state.
func (f *Fold) Status(scope, key string) Status {
	e, ok := f.entries[id{scope, key}]
	switch {
	case !ok:
		return Status{}
	case len(e.dones) > 0:
		d := e.dones[0]
		return Status{State: Finished, Nonce: d.nonce, VM: d.vm, BodyHash: d.bodyHash, Answer: d.answer}
	default:
		c := e.line[0]
		return Status{State: Held, Nonce: c.nonce, VM: c.vm, BodyHash: c.bodyHash}
	}
}

// Trim forgets the records before an offset: the log no longer keeps them.
func (f *Fold) Trim(before ident.Offset) {
	n := 0
	for n < len(f.marks) && f.marks[n].offset < before {
		f.trimEntry(f.marks[n].id, before)
		n++
	}
	f.marks = f.marks[n:]
	for len(f.answers) > 0 && f.answers[0].offset < before {
		f.answers = f.answers[1:]
	}
}

func (f *Fold) trimEntry(k id, before ident.Offset) {
	e, ok := f.entries[k]
	if !ok {
		return
	}
	e.line = slices.DeleteFunc(e.line, func(c claim) bool { return c.offset < before })
	for len(e.dones) > 0 && e.dones[0].offset < before {
		f.dropAnswer(e.dones[0])
		e.dones = e.dones[1:]
	}
	f.dropIfEmpty(k, e)
}

// minCompact is the number of marks below which compact isn't worth its while.
const minCompact = 1024

// compact drops the marks of released claims, so that memory follows the number
// of keys and not the number of records in the retention.
func (f *Fold) compact() {
	if len(f.marks) < minCompact || len(f.marks) < 4*len(f.entries) {
		return
	}
	kept := make([]mark, 0, len(f.marks)/2)
	for _, m := range f.marks {
		if e, ok := f.entries[m.id]; ok && e.has(m.offset) {
			kept = append(kept, m)
		}
	}
	f.marks = kept
}

func (f *Fold) entry(r *Record) *entry {
	k := idOf(r)
	e, ok := f.entries[k]
	if !ok {
		e = &entry{}
		f.entries[k] = e
	}
	return e
}

func (f *Fold) dropIfEmpty(k id, e *entry) {
	if e.empty() {
		delete(f.entries, k)
	}
}

func idOf(r *Record) id { return id{r.Scope, r.Key} }

func claimOf(offset ident.Offset, r *Record) claim {
	return claim{nonce: r.Nonce, vm: r.VM, bodyHash: r.BodyHash, offset: offset}
}
