package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/peterbourgon/ff/v4"
)

// Times of polling daemons for their configuration versions.
const (
	pollInterval = 50 * time.Millisecond
	pollTimeout  = time.Second // of one poll; a frozen daemon doesn't respond
)

// errVersionDecreased: a daemon used an older configuration than before.
var errVersionDecreased = errors.New("versions: a daemon's configuration version decreased")

// versionLog records the configuration versions that daemons report. Version 0 isn't
// recorded: it means none yet, as a daemon that has just started uses no configuration. A
// versionLog is safe for concurrent use.
type versionLog struct {
	mu        sync.Mutex
	polls     int              // recorded reports
	highest   map[string]int64 // by base URL, across restarts of its daemon
	decreases []string         // descriptions
}

func newVersionLog() *versionLog { return &versionLog{highest: map[string]int64{}} }

func (l *versionLog) observe(url string, version int64) {
	if version == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.polls++
	if highest := l.highest[url]; version < highest {
		l.decreases = append(l.decreases, fmt.Sprintf("%s: %d after %d", url, version, highest))
		return
	}
	l.highest[url] = version
}

// result summarizes the polls in one line. The error wraps errVersionDecreased.
func (l *versionLog) result() (string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := fmt.Sprintf("polls=%d falls=%d", l.polls, len(l.decreases))
	if len(l.decreases) == 0 {
		return line, nil
	}
	return line, fmt.Errorf("%w: %s", errVersionDecreased, strings.Join(l.decreases, "; "))
}

func versionsCommand() *ff.Command {
	return &ff.Command{
		Name:      "versions",
		Usage:     "standin versions URL ...",
		ShortHelp: "polls daemons' configuration versions until SIGTERM; fails if one ever decreases",
		Flags:     ff.NewFlagSet("versions"),
		Exec: func(ctx context.Context, urls []string) error {
			log := newVersionLog()
			var pollers sync.WaitGroup
			for _, url := range urls {
				pollers.Go(func() { pollVersion(ctx, url, log) })
			}
			pollers.Wait()
			line, err := log.result()
			fmt.Println(line)
			return err
		},
	}
}

// pollVersion records a daemon's version periodically until the context ends.
func pollVersion(ctx context.Context, url string, log *versionLog) {
	for ctx.Err() == nil {
		if version, err := fetchVersion(ctx, url); err == nil {
			log.observe(url, version)
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
		}
	}
}

// fetchVersion reads the configuration version from a daemon's readiness response, whether
// the daemon is ready or not.
func fetchVersion(ctx context.Context, url string) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var raw bytes.Buffer
	requestErr := sendRequest(ctx, http.MethodGet, url+"/readyz", nil, &raw)
	var readiness struct {
		Version *int64 `json:"version"`
	}
	if err := json.Unmarshal(raw.Bytes(), &readiness); err != nil || readiness.Version == nil {
		return 0, errors.Join(fmt.Errorf("versions: %s: no version in the readiness response", url), requestErr, err)
	}
	return *readiness.Version, nil
}

func inForceCommand() *ff.Command {
	fs := ff.NewFlagSet("inforce")
	version := fs.IntLong("version", 0, "oldest version that every daemon must report")
	since := fs.IntLong("since", 0, "start of the measured time, in nanoseconds since 1970; 0: now")
	within := fs.DurationLong("within", 9*time.Second, "time limit for all daemons, counted from --since")
	return &ff.Command{
		Name:      "inforce",
		Usage:     "standin inforce --version V [FLAGS] URL ...",
		ShortHelp: "waits until a configuration is in force on every daemon and prints the milliseconds it took",
		Flags:     fs,
		Exec: func(ctx context.Context, urls []string) error {
			start := time.Now()
			if *since > 0 {
				start = time.Unix(0, int64(*since))
			}
			ctx, cancel := context.WithDeadline(ctx, start.Add(*within))
			defer cancel()
			for _, url := range urls {
				if err := awaitVersion(ctx, url, int64(*version)); err != nil {
					return err
				}
			}
			fmt.Println(time.Since(start).Milliseconds())
			return nil
		},
	}
}

// awaitVersion polls a daemon until it reports the version or a newer one.
func awaitVersion(ctx context.Context, url string, want int64) error {
	for {
		got, err := fetchVersion(ctx, url)
		if err == nil && got >= want {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("inforce: %s is at version %d, want %d (%w)", url, got, want, errors.Join(ctx.Err(), err))
		case <-time.After(pollInterval):
		}
	}
}
