package callers

import (
	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/engine"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/service"
)

// Verified compares what the callers saw with what the services executed.
type Verified struct {
	// Doubled calls may not be repeated, but were executed more than once.
	Doubled int `json:"doubled"`
	// FalseNotRun calls were refused with "not run" throughout, but were executed.
	FalseNotRun int `json:"false_not_run"`
	// LiedAttempts were refused with "not run", but were executed themselves,
	// whatever became of their call's other attempts.
	LiedAttempts int `json:"lied_attempts"`
	// Refused counts the attempts that were told "not run" and compared.
	Refused int `json:"refused"`
	// Phantom calls were answered, but never executed.
	Phantom int `json:"phantom"`
	// Executed counts the service calls that were executed.
	Executed int `json:"executed"`
	// First names some of the calls that failed the comparison.
	First []string `json:"first,omitempty"`
}

// OK says that every call was executed as often as its caller was told.
func (v *Verified) OK() bool { return v.Doubled+v.FalseNotRun+v.LiedAttempts+v.Phantom == 0 }

// Verify compares the records with the counts of all services. Counts of a
// service whose process died are lost; phantoms can't be told then.
func (r *Result) Verify(counts []service.Counts) *Verified {
	v := &Verified{}
	for _, done := range r.Records {
		if done.Kind == Completion || done.Kind == Streamed {
			continue
		}
		executed := 0
		for _, c := range counts {
			executed += c.ByCall[done.ID]
		}
		v.add(done, executed)
		v.addRefused(done, counts)
	}
	r.Verified = v
	return v
}

// VerifyEngines holds every completion that was told "not run" against what the
// engines ran, by the daemon's id of the attempt. Call it after Verify.
func (r *Result) VerifyEngines(counts []engine.Counts) {
	for _, done := range r.Records {
		r.Verified.Refused += len(done.NotRunRequests)
		for _, id := range done.NotRunRequests {
			for _, c := range counts {
				r.Verified.lied(id, c.Runs[id])
			}
		}
	}
}

func (v *Verified) lied(id string, ran int) {
	if ran == 0 {
		return
	}
	v.LiedAttempts++
	if len(v.First) < maxWrong {
		v.First = append(v.First, id+": told not run")
	}
}

func (v *Verified) add(done Record, executed int) {
	if executed > 0 {
		v.Executed++
	}
	fault := ""
	switch {
	case done.Kind != Lookup && executed > 1:
		v.Doubled++
		fault = "doubled"
	case !done.Answered && !done.MayHaveRun && done.Outcome == outcome.NotRun && executed > 0:
		v.FalseNotRun++
		fault = "false not run"
	case done.Answered && executed == 0:
		v.Phantom++
		fault = "phantom"
	}
	if fault != "" && len(v.First) < maxWrong {
		v.First = append(v.First, done.ID+": "+fault)
	}
}

// addRefused holds every attempt that was told "not run" against the services.
func (v *Verified) addRefused(done Record, counts []service.Counts) {
	v.Refused += len(done.NotRun)
	for _, id := range done.NotRun {
		for _, c := range counts {
			v.lied(id, c.ByAttempt[id])
		}
	}
}
