// Package claims decides which daemon may run a request that carries an idempotency key,
// so that the request runs at most once. It is pure: records of the log's claims stream
// and the time go in, the state of each key comes out.
//
// # Rule
//
// The claims on a key form a queue in log order. The first claim that is neither released
// nor past the log's retention holds the key. Only the daemon that wrote it may dispatch
// the request, once, after it has read the claim back from the log. A claim is released
// only by its writer, and only if the writer knows that the request didn't run and will
// never be dispatched under this claim's nonce.
//
// # Why claims that lost stay in the queue
//
// Daemons drop expired records at different moments. Suppose claim O is about to expire
// when claim M is appended. One daemon reads M while it still has O, so M loses there. If
// claims that lost were dropped, that daemon would find the key free once O expires. The
// writer of M reads M back after it has dropped O, so M wins there. Both would run the
// request. With M in the queue, the first daemon finds the key held by M. The writer of a
// claim that lost therefore releases it explicitly.
//
// # How long a key is protected
//
// A key is protected as long as the log keeps its claim, or its done record if there is
// one: for the retention of the claims stream, counted from the append. A request that is
// sent again after that runs again. A reader that fell behind the retention misses nothing
// that still matters: all records that it missed concerned keys whose protection had ended.
package claims

import (
	"slices"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// State is the state of an idempotency key.
type State int

// The states of a key.
const (
	Free     State = iota // no claim: its request wasn't run within the retention
	Held                  // a claim holds the key: its request may have run or be running
	Finished              // its request has run
)

// Status is a key's state and the claim that determines it.
type Status struct {
	State    State
	Nonce    string   // of the claim; empty if the key is free
	VM       ident.VM // that wrote the claim
	BodyHash uint64   // of the claim's request
	Answer   *Answer  // of a finished request, nil if it wasn't kept; read-only
}

// Verdict is the result of one claim, decided at its position in the log.
type Verdict struct {
	Nonce  string
	Scope  string
	Key    string
	Won    bool   // the claim holds its key
	Status Status // the key's state after the claim
}

// keyID identifies an idempotency key.
type keyID struct{ scope, key string }

// claim is the part of a claim or done record that is kept.
type claim struct {
	nonce    string
	vm       ident.VM // that wrote the record
	bodyHash uint64   // of the request
	offset   ident.Offset
}

type doneRecord struct {
	claim
	answer *Answer // nil if it wasn't kept
}

// entry holds the unreleased claims and the done records of one key, both in log order.
// Duplicates from repeated appends are kept, since they expire later than the original. A
// key's state then depends only on the records that the log still keeps, and daemons that
// have read up to the same offset agree, wherever they started to read.
type entry struct {
	claims      []claim
	doneRecords []*doneRecord
}

func (e *entry) empty() bool { return len(e.claims) == 0 && len(e.doneRecords) == 0 }

// hasRecordAt reports whether the entry still holds a record at an offset.
func (e *entry) hasRecordAt(offset ident.Offset) bool {
	for _, d := range e.doneRecords {
		if d.offset == offset {
			return true
		}
	}
	for _, c := range e.claims {
		if c.offset == offset {
			return true
		}
	}
	return false
}

// recordRef refers to a record of a key by the record's offset.
type recordRef struct {
	offset ident.Offset
	key    keyID
}

// Table holds the state of all keys, computed from the records of the claims stream. It is
// not safe for concurrent use.
type Table struct {
	entries        map[keyID]*entry
	recordRefs     []recordRef // all records kept, and some released ones, by ascending offset
	answerRefs     []recordRef // done records that were appended with an answer, by ascending offset
	answerBytes    int         // size of the answers kept
	maxAnswerBytes int
}

// NewTable returns an empty table that keeps at most maxAnswerBytes of answers. The oldest
// answers are dropped first; their keys stay done.
func NewTable(maxAnswerBytes int) *Table {
	return &Table{entries: map[keyID]*entry{}, maxAnswerBytes: maxAnswerBytes}
}

// Len returns the number of keys that aren't free.
func (t *Table) Len() int { return len(t.entries) }

// Apply applies the batch at an offset. Batches must be applied in log order, after Trim
// with the first offset that the log kept when they were read. It returns a verdict for
// each new claim. The duplicate of a claim that is still queued gets none: its append was
// repeated after a lost answer.
func (t *Table) Apply(offset ident.Offset, records []Record) []Verdict {
	var verdicts []Verdict
	for i := range records {
		r := &records[i]
		switch r.Kind {
		case KindClaim:
			if t.applyClaim(offset, r) {
				verdicts = append(verdicts, t.verdict(r))
			}
		case KindRelease:
			t.applyRelease(r)
		case KindDone:
			t.applyDone(offset, r)
		}
	}
	t.evictOldAnswers()
	t.compactRefs()
	return verdicts
}

func (t *Table) verdict(r *Record) Verdict {
	s := t.Status(r.Scope, r.Key)
	won := s.State == Held && s.Nonce == r.Nonce
	return Verdict{Nonce: r.Nonce, Scope: r.Scope, Key: r.Key, Won: won, Status: s}
}

// applyClaim queues a claim and reports whether it is new, and not a duplicate of one in the
// queue.
func (t *Table) applyClaim(offset ident.Offset, r *Record) bool {
	e := t.entryFor(r)
	isNew := !slices.ContainsFunc(e.claims, func(c claim) bool { return c.nonce == r.Nonce })
	e.claims = append(e.claims, newClaim(offset, r))
	t.recordRefs = append(t.recordRefs, recordRef{offset, keyIDOf(r)})
	return isNew
}

// applyRelease removes the claim with the release's nonce and its duplicates.
func (t *Table) applyRelease(r *Record) {
	e, ok := t.entries[keyIDOf(r)]
	if !ok {
		return
	}
	e.claims = slices.DeleteFunc(e.claims, func(c claim) bool { return c.nonce == r.Nonce })
	t.deleteIfEmpty(keyIDOf(r), e)
}

func (t *Table) applyDone(offset ident.Offset, r *Record) {
	e := t.entryFor(r)
	e.doneRecords = append(e.doneRecords, &doneRecord{claim: newClaim(offset, r), answer: r.Answer})
	t.recordRefs = append(t.recordRefs, recordRef{offset, keyIDOf(r)})
	if r.Answer != nil {
		t.answerRefs = append(t.answerRefs, recordRef{offset, keyIDOf(r)})
		t.answerBytes += r.Answer.sizeBytes()
	}
}

// Status returns a key's state.
func (t *Table) Status(scope, key string) Status {
	e, ok := t.entries[keyID{scope, key}]
	switch {
	case !ok:
		return Status{}
	case len(e.doneRecords) > 0:
		d := e.doneRecords[0]
		return Status{State: Finished, Nonce: d.nonce, VM: d.vm, BodyHash: d.bodyHash, Answer: d.answer}
	default:
		c := e.claims[0]
		return Status{State: Held, Nonce: c.nonce, VM: c.vm, BodyHash: c.bodyHash}
	}
}

// Trim drops the records before an offset, which the log no longer keeps.
func (t *Table) Trim(before ident.Offset) {
	n := 0
	for n < len(t.recordRefs) && t.recordRefs[n].offset < before {
		t.trimEntry(t.recordRefs[n].key, before)
		n++
	}
	t.recordRefs = t.recordRefs[n:]
	for len(t.answerRefs) > 0 && t.answerRefs[0].offset < before {
		t.answerRefs = t.answerRefs[1:]
	}
}

func (t *Table) trimEntry(key keyID, before ident.Offset) {
	e, ok := t.entries[key]
	if !ok {
		return
	}
	e.claims = slices.DeleteFunc(e.claims, func(c claim) bool { return c.offset < before })
	for len(e.doneRecords) > 0 && e.doneRecords[0].offset < before {
		t.dropAnswer(e.doneRecords[0])
		e.doneRecords = e.doneRecords[1:]
	}
	t.deleteIfEmpty(key, e)
}

// minCompactRefs is the number of references below which compaction isn't worth its cost.
const minCompactRefs = 1024

// compactRefs drops the references to released claims, so that memory grows with the
// number of keys and not with the number of records within the retention.
func (t *Table) compactRefs() {
	if len(t.recordRefs) < minCompactRefs || len(t.recordRefs) < 4*len(t.entries) {
		return
	}
	kept := make([]recordRef, 0, len(t.recordRefs)/2)
	for _, ref := range t.recordRefs {
		if e, ok := t.entries[ref.key]; ok && e.hasRecordAt(ref.offset) {
			kept = append(kept, ref)
		}
	}
	t.recordRefs = kept
}

// entryFor returns the entry of a record's key, which it creates if there is none.
func (t *Table) entryFor(r *Record) *entry {
	key := keyIDOf(r)
	e, ok := t.entries[key]
	if !ok {
		e = &entry{}
		t.entries[key] = e
	}
	return e
}

func (t *Table) deleteIfEmpty(key keyID, e *entry) {
	if e.empty() {
		delete(t.entries, key)
	}
}

func keyIDOf(r *Record) keyID { return keyID{r.Scope, r.Key} }

func newClaim(offset ident.Offset, r *Record) claim {
	return claim{nonce: r.Nonce, vm: r.VM, bodyHash: r.BodyHash, offset: offset}
}
