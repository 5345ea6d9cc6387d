package capacity

import (
	"context"
	"fmt"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/config"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// teamOf is the branch of the team that entry i stands in.
func teamOf(i int) config.Branch {
	return config.TeamBranch(ident.Team(fmt.Sprintf("team-%d", i/teamEntries)))
}

// addEntries adds the entries from have on up to want, each a job.
func (w *World) addEntries(ctx context.Context, have, want int) error {
	for from := have; from < want; {
		to := min(want, (from/teamEntries+1)*teamEntries)
		if err := w.addTo(ctx, from, to); err != nil {
			return err
		}
		from = to
	}
	return nil
}

// addTo rewrites one team's jobs.
func (w *World) addTo(ctx context.Context, from, to int) error {
	first := from / teamEntries * teamEntries
	branch := teamOf(first)
	if from == first {
		models := map[ident.Model]config.Model{model: {Group: engineGroup, MaxTokens: maxAnswerTokens}}
		if err := w.publish(ctx, branch, "", config.Team{Models: models}); err != nil {
			return err
		}
	}
	jobs := map[ident.Job]config.Job{}
	for i := first; i < to; i++ {
		jobs[ident.Job(fmt.Sprintf("job-%04d", i))] = newJob()
	}
	return w.publish(ctx, branch, "jobs", jobs)
}

// changeEntries changes the first job at a steady rate.
func (w *World) changeEntries(ctx context.Context, window time.Duration) (done, failed int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, window)
	defer cancel()
	for pause(ctx, time.Second/changesPerSecond) {
		err := w.publish(context.WithoutCancel(ctx), teamOf(0), "jobs/job-0000/max_tokens", 1+done%sampleTokens)
		if err != nil {
			return done, failed, err
		}
		done++
	}
	return done, failed, nil
}
