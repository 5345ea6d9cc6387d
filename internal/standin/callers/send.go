package callers

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
)

// sent is how one attempt ended.
type sent struct {
	id        string
	firstByte time.Time
	err       error // errWrong or an *attemptError
}

// send makes one attempt at a call, or two at the same moment for a twin, and
// notes in the record what their outcomes were. It returns the better end.
func (d *driver) send(ctx context.Context, c *call, done *Record) (firstByte time.Time, err error) {
	ends := make(chan sent, 2)
	begin := func(side string) {
		id := fmt.Sprintf("%s/%d%s", c.id, done.Attempts, side)
		firstByte, err := d.attempt(ctx, c, id)
		if failure := (*attemptError)(nil); errors.As(err, &failure) && failure.refused != nil {
			d.record.refused(*failure.refused)
		}
		ends <- sent{id, firstByte, err}
	}
	if !c.twin {
		begin("")
		one := <-ends
		done.note(one)
		return one.firstByte, one.err
	}
	go begin("a")
	go begin("b")
	one, other := <-ends, <-ends
	done.note(one)
	done.note(other)
	if worse(one.err, other.err) {
		one = other
	}
	return one.firstByte, one.err
}

// note keeps what an attempt's end says of whether it ran. An earlier attempt may
// have run, whatever became of this one.
func (r *Record) note(one sent) {
	if one.err == nil {
		return
	}
	var failure *attemptError
	if errors.As(one.err, &failure) && failure.outcome == outcome.NotRun {
		r.NotRun = append(r.NotRun, one.id)
		if failure.request != "" && (r.Kind == Completion || r.Kind == Streamed) {
			r.NotRunRequests = append(r.NotRunRequests, failure.request)
		}
		return
	}
	r.MayHaveRun = true
}

// worse says whether a tells the caller of a twin less than b: a wrong answer
// counts above all, then a right one, then an outcome that isn't "not run".
func worse(a, b error) bool { return rank(a) < rank(b) }

func rank(err error) int {
	var failure *attemptError
	switch {
	case errors.Is(err, errWrong):
		return 3
	case err == nil:
		return 2
	case errors.As(err, &failure) && failure.outcome == outcome.NotRun:
		return 0
	default:
		return 1
	}
}
