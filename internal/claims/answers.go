package claims

import "github.com/dogwoodflow/dogwoodflow/internal/ident"

// evictOldAnswers drops the oldest answers until the rest fit into maxAnswerBytes. Their
// keys stay done.
func (t *Table) evictOldAnswers() {
	for t.answerBytes > t.maxAnswerBytes && len(t.answerRefs) > 0 {
		oldest := t.answerRefs[0]
		t.answerRefs = t.answerRefs[1:]
		e, ok := t.entries[oldest.key]
		if ok {
			e.dropAnswersAt(t, oldest.offset)
		}
	}
}

// dropAnswersAt drops the answers of the entry's done records at an offset.
func (e *entry) dropAnswersAt(t *Table, offset ident.Offset) {
	for _, d := range e.doneRecords {
		if d.offset == offset {
			t.dropAnswer(d)
		}
	}
}

func (t *Table) dropAnswer(d *doneRecord) {
	if d.answer == nil {
		return
	}
	t.answerBytes -= d.answer.sizeBytes()
	d.answer = nil
}
