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

// Times of the checks of configuration versions.
const (
	versionPause = 50 * time.Millisecond
	versionTime  = time.Second // one poll; a frozen daemon doesn't answer
)

// errVersionFell says that a daemon acted on an older configuration than before.
var errVersionFell = errors.New("versions: a daemon's configuration version fell")

// versionLog notes the configuration versions that daemons report. Version 0, "none
// yet", isn't noted: a daemon that has just started acts on no configuration.
// Safe for concurrent use.
type versionLog struct {
	mu      sync.Mutex
	polls   int
	highest map[string]int64 // by base URL, over restarts of its daemon
	falls   []string
}

func newVersionLog() *versionLog { return &versionLog{highest: map[string]int64{}} }

func (l *versionLog) saw(url string, version int64) {
	if version == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.polls++
	if before := l.highest[url]; version < before {
		l.falls = append(l.falls, fmt.Sprintf("%s: %d after %d", url, version, before))
		return
	}
	l.highest[url] = version
}

// result sums up in one line; the error is errVersionFell.
func (l *versionLog) result() (string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := fmt.Sprintf("polls=%d falls=%d", l.polls, len(l.falls))
	if len(l.falls) == 0 {
		return line, nil
	}
	return line, fmt.Errorf("%w: %s", errVersionFell, strings.Join(l.falls, "; "))
}

func versionsCommand() *ff.Command {
	return &ff.Command{
		Name:      "versions",
		Usage:     "standin versions URL ...",
		ShortHelp: "polls daemons' configuration versions until SIGTERM; fails if one ever falls",
		Flags:     ff.NewFlagSet("versions"),
		Exec: func(ctx context.Context, urls []string) error {
			log := newVersionLog()
			var all sync.WaitGroup
			for _, url := range urls {
				all.Go(func() { watchVersion(ctx, url, log) })
			}
			all.Wait()
			line, err := log.result()
			fmt.Println(line)
			return err
		},
	}
}

func watchVersion(ctx context.Context, url string, log *versionLog) {
	for ctx.Err() == nil {
		if version, err := versionOf(ctx, url); err == nil {
			log.saw(url, version)
		}
		select {
		case <-time.After(versionPause):
		case <-ctx.Done():
		}
	}
}

// versionOf reads the version from a daemon's readiness, whether it is ready or not.
func versionOf(ctx context.Context, url string) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, versionTime)
	defer cancel()
	var raw bytes.Buffer
	failed := send(ctx, http.MethodGet, url+"/readyz", nil, &raw)
	var readiness struct {
		Version *int64 `json:"version"`
	}
	if err := json.Unmarshal(raw.Bytes(), &readiness); err != nil || readiness.Version == nil {
		return 0, errors.Join(fmt.Errorf("versions: %s: no version", url), failed, err)
	}
	return *readiness.Version, nil
}

func inForceCommand() *ff.Command {
	fs := ff.NewFlagSet("inforce")
	version := fs.IntLong("version", 0, "the version, or a newer one, that every daemon must report")
	since := fs.IntLong("since", 0, "nanoseconds since 1970 that the time counts from; 0: now")
	within := fs.DurationLong("within", 9*time.Second, "when every daemon must report it, from since on")
	return &ff.Command{
		Name:      "inforce",
		Usage:     "standin inforce --version V [FLAGS] URL ...",
		ShortHelp: "waits until a configuration is in force on every daemon and prints the milliseconds it took",
		Flags:     fs,
		Exec: func(ctx context.Context, urls []string) error {
			begun := time.Now()
			if *since > 0 {
				begun = time.Unix(0, int64(*since))
			}
			ctx, cancel := context.WithDeadline(ctx, begun.Add(*within))
			defer cancel()
			for _, url := range urls {
				if err := awaitVersion(ctx, url, int64(*version)); err != nil {
					return err
				}
			}
			fmt.Println(time.Since(begun).Milliseconds())
			return nil
		},
	}
}

func awaitVersion(ctx context.Context, url string, want int64) error {
	for {
		got, err := versionOf(ctx, url)
		if err == nil && got >= want {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("inforce: %s is at version %d, not yet at %d (%w)", url, got, want, errors.Join(ctx.Err(), err))
		case <-time.After(versionPause):
		}
	}
}
