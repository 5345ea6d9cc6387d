package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/peterbourgon/ff/v4"

	"github.com/dogwoodflow/dogwoodflow/internal/standin/callers"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/engine"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/service"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/trainer"
)

// Errors of a run whose checks failed.
var (
	errSamples = errors.New("trainer: samples failed their checks")
	errAnswers = errors.New("callers: answers failed their checks")
	errDaemons = errors.New("--daemons: want base URLs, e.g. http://127.0.0.1:8080,http://127.0.0.2:8080")
)

func trainerCommand() *ff.Command {
	fs := ff.NewFlagSet("trainer")
	daemons := fs.StringLong("daemons", "", "base URLs of the daemons' trainer API, comma-separated")
	asJSON := fs.BoolLong("json", "print the summary as JSON")
	quiet := fs.BoolLong("quiet", "no progress on standard error")
	var o trainer.Options
	fs.StringVar(&o.Key, 0, "key", "", "bearer key of the team's trainer")
	fs.StringVar(&o.Job, 0, "job", "", "rollout job")
	fs.IntVar(&o.FirstStep, 0, "first-step", 1, "number of the first step")
	fs.IntVar(&o.Steps, 0, "steps", 3, "how many steps")
	fs.IntVar(&o.Prompts, 0, "prompts", 16, "prompts a step")
	fs.IntVar(&o.Lengths.Min, 0, "tokens-min", 8, "shortest completion, in tokens")
	fs.IntVar(&o.Lengths.Max, 0, "tokens-max", 32, "longest usual completion, in tokens")
	fs.IntVar(&o.Lengths.Tail, 0, "tail-tokens", 0, "length of a straggler, in tokens; 0: none")
	fs.Float64Var(&o.Lengths.TailShare, 0, "tail-share", 0.03, "share of prompts that are stragglers")
	fs.Uint64Var(&o.Seed, 0, "seed", 1, "seed of the prompts and lengths")
	bound := fs.IntLong("bound", 1, "staleness bound that samples are held to, in versions")
	fs.StringVar(&o.Model, 0, "model", "drafts", "model that new versions are published of")
	fs.StringVar(&o.PublishTo, 0, "publish-to", "", "URL of the weight store to publish a version to between steps")
	version := fs.IntLong("version", 1, "newest version at the start, without --publish-to")
	fs.DurationVar(&o.TrainTime, 0, "train-time", 0, "time spent on training a whole step")
	fs.BoolVar(&o.Unscored, 0, "unscored", "don't check rewards")
	fs.DurationVar(&o.PullWait, 0, "pull-wait", time.Second, "how long a pull may wait")
	fs.DurationVar(&o.PullPause, 0, "pull-pause", 0, "time between two pulls")
	fs.IntVar(&o.MaxGroups, 0, "max-groups", 0, "groups in an answer at most; 0: the daemon's default")
	fs.BoolVar(&o.FollowStore, 0, "follow-store", "learn of versions in --publish-to also in mid-step")
	fs.IntVar(&o.CutAnswers, 0, "cut-answers", 0, "how many answers to cut the connection in the middle of")
	fs.IntVar(&o.Restarts, 0, "restarts", 0, "how often to start anew in the middle of a step")
	fs.BoolVar(&o.KeepCursor, 0, "keep-cursor", "a restart finds what was accepted before it")
	fs.DurationVar(&o.StepTime, 0, "step-timeout", 2*time.Minute, "when a step is given up")
	return &ff.Command{
		Name:      "trainer",
		Usage:     "standin trainer [FLAGS]",
		ShortHelp: "a trainer that runs steps and checks every sample",
		Flags:     fs,
		Exec: func(ctx context.Context, _ []string) error {
			o.Daemons = splitList(*daemons)
			if len(o.Daemons) == 0 {
				return errDaemons
			}
			o.Bound, o.Version = int64(*bound), int64(*version)
			if !*quiet {
				o.Progress = printProgress
			}
			summary, err := trainer.New(o).Run(ctx)
			printTrainer(summary, *asJSON)
			if err == nil && !summary.OK() {
				return errSamples
			}
			return err
		},
	}
}

func printProgress(step, samples, wanted int) {
	fmt.Fprintf(os.Stderr, "trainer: step %d: %d of %d samples\n", step, samples, wanted)
}

func printTrainer(s trainer.Summary, asJSON bool) {
	if asJSON {
		printJSON(s)
		return
	}
	fmt.Printf("steps=%d samples=%d missing=%d duplicates=%d stale=%d mislabelled=%d wrong=%d failed_groups=%d\n",
		s.Steps, s.Samples, s.Missing, s.Duplicates, s.Stale, s.Mislabelled, s.Wrong, s.FailedGroups)
	for _, fault := range s.Faults {
		fmt.Println(fault)
	}
}

func callersCommand() *ff.Command {
	fs := ff.NewFlagSet("callers")
	daemons := fs.StringLong("daemons", "", "base URLs of the daemons' caller API, comma-separated")
	services := fs.StringLong("services", "", "base URLs of the stand-in services, to compare their counts at the end")
	engines := fs.StringLong("engines", "", "base URLs of the stand-in engines, to compare refused completions with; wants --services")
	asJSON := fs.BoolLong("json", "print the result as JSON")
	var o callers.Options
	fs.StringVar(&o.Key, 0, "key", "", "bearer key of the team's caller")
	fs.Uint64Var(&o.Seed, 0, "seed", 1, "seed of the calls and their times")
	fs.Float64Var(&o.Rate, 0, "rate", 0, "calls a second (open loop); 0: closed loop")
	fs.IntVar(&o.Concurrency, 0, "concurrency", 8, "callers of the closed loop")
	fs.DurationVar(&o.Duration, 0, "duration", 10*time.Second, "how long calls begin")
	fs.IntVar(&o.Calls, 0, "calls", 0, "how many calls at most; 0: no bound")
	fs.StringVar(&o.Model, 0, "model", "drafts", "model of the completions")
	fs.Float64Var(&o.CompletionShare, 0, "completion-share", 0.7, "share of calls that are completions")
	fs.Float64Var(&o.StreamShare, 0, "stream-share", 0.5, "share of completions that are streamed")
	fs.Float64Var(&o.ChatShare, 0, "chat-share", 0.5, "share of completions that are chats")
	fs.IntVar(&o.MinTokens, 0, "tokens-min", 8, "shortest completion, in tokens")
	fs.IntVar(&o.MaxTokens, 0, "tokens-max", 32, "longest completion, in tokens")
	fs.StringVar(&o.ServicePath, 0, "service-path", "", "path of service calls that may not be repeated")
	fs.StringVar(&o.IdempotentPath, 0, "idempotent-path", "", "path of service calls that may be repeated")
	fs.Float64Var(&o.KeyedShare, 0, "keyed-share", 0.5, "share of calls to --service-path with an Idempotency-Key")
	fs.Float64Var(&o.TwinShare, 0, "twin-share", 0, "share of calls with a key that are sent twice at the same moment")
	fs.IntVar(&o.BodyBytes, 0, "body-bytes", 256, "size of a service call's body")
	fs.IntVar(&o.Resends, 0, "resends", 3, "how often a call is sent again where that is safe")
	fs.DurationVar(&o.Timeout, 0, "timeout", 30*time.Second, "when an attempt is given up")
	return &ff.Command{
		Name:      "callers",
		Usage:     "standin callers [FLAGS]",
		ShortHelp: "production callers that check every answer",
		Flags:     fs,
		Exec: func(ctx context.Context, _ []string) error {
			o.Daemons = splitList(*daemons)
			if len(o.Daemons) == 0 {
				return errDaemons
			}
			if o.ServicePath == "" && o.IdempotentPath == "" {
				o.CompletionShare = 1
			}
			result := callers.Run(ctx, o)
			if err := verify(context.WithoutCancel(ctx), result, splitList(*services), splitList(*engines)); err != nil {
				return err
			}
			return printCallers(result, *asJSON)
		},
	}
}

// verify compares the result with the counts of the services and engines, if there are any.
func verify(ctx context.Context, result *callers.Result, services, engines []string) error {
	if len(services) == 0 {
		return nil
	}
	executed, err := countsOf[service.Counts](ctx, services, service.CountsPath)
	if err != nil {
		return err
	}
	result.Verify(executed)
	generated, err := countsOf[engine.Counts](ctx, engines, "/counts")
	if err != nil {
		return err
	}
	result.VerifyEngines(generated)
	return nil
}

// countsOf reads the counts of several stand-ins of one sort.
func countsOf[C any](ctx context.Context, urls []string, path string) ([]C, error) {
	var all []C
	for _, url := range urls {
		var raw bytes.Buffer
		if err := send(ctx, http.MethodGet, url+path, nil, &raw); err != nil {
			return nil, err
		}
		var counts C
		if err := json.Unmarshal(raw.Bytes(), &counts); err != nil {
			return nil, fmt.Errorf("%s: %w", url, err)
		}
		all = append(all, counts)
	}
	return all, nil
}

func printCallers(r *callers.Result, asJSON bool) error {
	if asJSON {
		printJSON(r)
	} else {
		fmt.Printf("calls=%d answers=%d wrong=%d failed=%d resent=%d\n", r.Calls, r.Answers, r.Wrong, r.Failed, r.Resent)
	}
	if r.Wrong > 0 || (r.Verified != nil && !r.Verified.OK()) {
		return errAnswers
	}
	return nil
}

func printJSON(v any) {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(v)
}
