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

// Errors of runs whose checks failed, and of missing --daemons.
var (
	errSampleChecks   = errors.New("trainer: samples failed their checks")
	errResponseChecks = errors.New("callers: responses failed their checks")
	errNoDaemonURLs   = errors.New("--daemons: base URLs are required, e.g. http://127.0.0.1:8080,http://127.0.0.2:8080")
)

func trainerCommand() *ff.Command {
	fs := ff.NewFlagSet("trainer")
	daemons := fs.StringLong("daemons", "", "base URLs of the daemons' trainer API, comma-separated")
	asJSON := fs.BoolLong("json", "print the summary as JSON")
	quiet := fs.BoolLong("quiet", "don't print progress on standard error")
	var o trainer.Options
	fs.StringVar(&o.Key, 0, "key", "", "bearer key of the team's trainer")
	fs.StringVar(&o.Job, 0, "job", "", "rollout job")
	fs.IntVar(&o.FirstStep, 0, "first-step", 1, "number of the first step")
	fs.IntVar(&o.Steps, 0, "steps", 3, "number of steps")
	fs.IntVar(&o.Prompts, 0, "prompts", 16, "prompts per step")
	fs.IntVar(&o.Lengths.Min, 0, "tokens-min", 8, "shortest completion, in tokens")
	fs.IntVar(&o.Lengths.Max, 0, "tokens-max", 32, "longest completion that isn't a straggler, in tokens")
	fs.IntVar(&o.Lengths.Tail, 0, "tail-tokens", 0, "length of a straggler, in tokens; 0: none")
	fs.Float64Var(&o.Lengths.TailShare, 0, "tail-share", 0.03, "share of prompts that are stragglers")
	fs.Uint64Var(&o.Seed, 0, "seed", 1, "seed of the prompts and lengths")
	bound := fs.IntLong("bound", 1, "staleness bound that samples must keep to, in versions")
	fs.StringVar(&o.Model, 0, "model", "drafts", "model whose new versions are published")
	fs.StringVar(&o.PublishTo, 0, "publish-to", "", "URL of the weight store to publish a version to between steps")
	version := fs.IntLong("version", 1, "newest version at the start; used without --publish-to")
	fs.DurationVar(&o.TrainTime, 0, "train-time", 0, "duration of training on a complete step")
	fs.BoolVar(&o.Unscored, 0, "unscored", "don't check rewards")
	fs.DurationVar(&o.PullWait, 0, "pull-wait", time.Second, "maximum wait of a pull for samples")
	fs.DurationVar(&o.PullPause, 0, "pull-pause", 0, "pause between two pulls")
	fs.IntVar(&o.MaxGroups, 0, "max-groups", 0, "maximum number of groups in the response to a pull; 0: the daemon's default")
	fs.BoolVar(&o.FollowStore, 0, "follow-store", "follow the versions in --publish-to during a step, too")
	fs.IntVar(&o.CutAnswers, 0, "cut-answers", 0, "number of responses during which to close the connection")
	fs.IntVar(&o.Restarts, 0, "restarts", 0, "number of restarts of the trainer in the middle of a step")
	fs.BoolVar(&o.KeepCursor, 0, "keep-cursor", "a restarted trainer still knows the samples accepted before")
	fs.DurationVar(&o.StepTime, 0, "step-timeout", 2*time.Minute, "time limit of a step")
	return &ff.Command{
		Name:      "trainer",
		Usage:     "standin trainer [FLAGS]",
		ShortHelp: "runs a trainer that requests steps and checks every sample",
		Flags:     fs,
		Exec: func(ctx context.Context, _ []string) error {
			o.Daemons = splitList(*daemons)
			if len(o.Daemons) == 0 {
				return errNoDaemonURLs
			}
			o.Bound, o.Version = int64(*bound), int64(*version)
			if !*quiet {
				o.Progress = printProgress
			}
			summary, err := trainer.New(o).Run(ctx)
			printTrainerSummary(summary, *asJSON)
			if err == nil && !summary.OK() {
				return errSampleChecks
			}
			return err
		},
	}
}

func printProgress(step, samples, expected int) {
	fmt.Fprintf(os.Stderr, "trainer: step %d: %d of %d samples\n", step, samples, expected)
}

func printTrainerSummary(s trainer.Summary, asJSON bool) {
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
	services := fs.StringLong("services", "", "base URLs of the stand-in services whose counts are compared with the result at the end")
	engines := fs.StringLong("engines", "", "base URLs of the stand-in engines whose counts are compared with the refused completions; requires --services")
	asJSON := fs.BoolLong("json", "print the result as JSON")
	var o callers.Options
	fs.StringVar(&o.Key, 0, "key", "", "bearer key of the team's caller")
	fs.Uint64Var(&o.Seed, 0, "seed", 1, "seed of the calls and their start times")
	fs.Float64Var(&o.Rate, 0, "rate", 0, "calls per second (open loop); 0: closed loop")
	fs.IntVar(&o.Concurrency, 0, "concurrency", 8, "concurrent callers of the closed loop")
	fs.DurationVar(&o.Duration, 0, "duration", 10*time.Second, "time during which calls are started")
	fs.IntVar(&o.Calls, 0, "calls", 0, "maximum number of calls; 0: no limit")
	fs.StringVar(&o.Model, 0, "model", "drafts", "model of the completions")
	fs.Float64Var(&o.CompletionShare, 0, "completion-share", 0.7, "share of calls that are completions")
	fs.Float64Var(&o.StreamShare, 0, "stream-share", 0.5, "share of completions that are streamed")
	fs.Float64Var(&o.ChatShare, 0, "chat-share", 0.5, "share of completions that are chats")
	fs.IntVar(&o.MinTokens, 0, "tokens-min", 8, "shortest completion, in tokens")
	fs.IntVar(&o.MaxTokens, 0, "tokens-max", 32, "longest completion, in tokens")
	fs.StringVar(&o.ServicePath, 0, "service-path", "", "path of service calls that must not be repeated")
	fs.StringVar(&o.IdempotentPath, 0, "idempotent-path", "", "path of service calls that may be repeated")
	fs.Float64Var(&o.KeyedShare, 0, "keyed-share", 0.5, "share of calls to --service-path with an Idempotency-Key")
	fs.Float64Var(&o.TwinShare, 0, "twin-share", 0, "share of calls with a key that are sent twice concurrently")
	fs.IntVar(&o.BodyBytes, 0, "body-bytes", 256, "size of a service call's body, in bytes")
	fs.IntVar(&o.Resends, 0, "resends", 3, "maximum number of times that a call is sent again, where that is safe")
	fs.DurationVar(&o.Timeout, 0, "timeout", 30*time.Second, "time limit of an attempt")
	return &ff.Command{
		Name:      "callers",
		Usage:     "standin callers [FLAGS]",
		ShortHelp: "runs production callers that check every response",
		Flags:     fs,
		Exec: func(ctx context.Context, _ []string) error {
			o.Daemons = splitList(*daemons)
			if len(o.Daemons) == 0 {
				return errNoDaemonURLs
			}
			if o.ServicePath == "" && o.IdempotentPath == "" {
				o.CompletionShare = 1
			}
			result := callers.Run(ctx, o)
			if err := verifyCounts(context.WithoutCancel(ctx), result, splitList(*services), splitList(*engines)); err != nil {
				return err
			}
			return printCallersResult(result, *asJSON)
		},
	}
}

// verifyCounts compares the callers' result with the counts of the services and engines, if
// URLs of services are given.
func verifyCounts(ctx context.Context, result *callers.Result, services, engines []string) error {
	if len(services) == 0 {
		return nil
	}
	executed, err := fetchCounts[service.Counts](ctx, services, service.CountsPath)
	if err != nil {
		return err
	}
	result.Verify(executed)
	generated, err := fetchCounts[engine.Counts](ctx, engines, "/counts")
	if err != nil {
		return err
	}
	result.VerifyEngines(generated)
	return nil
}

// fetchCounts reads the counts of several stand-ins of one kind.
func fetchCounts[C any](ctx context.Context, urls []string, path string) ([]C, error) {
	var counts []C
	for _, url := range urls {
		var raw bytes.Buffer
		if err := sendRequest(ctx, http.MethodGet, url+path, nil, &raw); err != nil {
			return nil, err
		}
		var one C
		if err := json.Unmarshal(raw.Bytes(), &one); err != nil {
			return nil, fmt.Errorf("%s: %w", url, err)
		}
		counts = append(counts, one)
	}
	return counts, nil
}

// printCallersResult prints the result and returns an error if a check failed.
func printCallersResult(r *callers.Result, asJSON bool) error {
	if asJSON {
		printJSON(r)
	} else {
		fmt.Printf("calls=%d answers=%d wrong=%d failed=%d resent=%d\n", r.Calls, r.Answers, r.Wrong, r.Failed, r.Resent)
	}
	if r.Wrong > 0 || (r.Verified != nil && !r.Verified.OK()) {
		return errResponseChecks
	}
	return nil
}

func printJSON(v any) {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(v)
}
