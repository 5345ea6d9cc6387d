package claims

import "github.com/dogwoodflow/dogwoodflow/internal/ident"

// boundAnswers keeps memory bounded. It never forgets that a key is done.
func (f *Fold) boundAnswers() {
	for f.answerBytes > f.maxAnswerBytes && len(f.answers) > 0 {
		oldest := f.answers[0]
		f.answers = f.answers[1:]
		e, ok := f.entries[oldest.id]
		if ok {
			e.dropAnswers(f, oldest.offset)
		}
	}
}

func (e *entry) dropAnswers(f *Fold, offset ident.Offset) {
	for _, d := range e.dones {
		if d.offset == offset {
			f.dropAnswer(d)
		}
	}
}

func (f *Fold) dropAnswer(d *done) {
	if d.answer == nil {
		return
	}
	f.answerBytes -= d.answer.size()
	d.answer = nil
}
