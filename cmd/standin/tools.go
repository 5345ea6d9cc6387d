package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v4"

	"github.com/dogwoodflow/dogwoodflow/internal/standin/fault"
)

// singleUseClient never reuses a connection, since an open one may be affected by a Silence
// fault.
var singleUseClient = &http.Client{
	Timeout:   10 * time.Second,
	Transport: &http.Transport{DisableKeepAlives: true},
}

func faultCommand() *ff.Command {
	fs := ff.NewFlagSet("fault")
	clearAll := fs.BoolLong("clear", "clear all faults instead of setting one")
	var s fault.Spec
	match := fs.StringLong("match", "", `substring of "METHOD path?query" or of the body; empty matches all`)
	count := fs.IntLong("count", 0, "number of requests to affect; 0: all")
	duration := fs.DurationLong("duration", 0, "how long the fault stays active; 0: until cleared")
	value := fs.Float64Long("value", 0, "argument of some kinds, in ms or bytes; for slow on an engine, a factor")
	return &ff.Command{
		Name:      "fault",
		Usage:     "standin fault [FLAGS] URL [KIND]",
		ShortHelp: "sets a fault on a stand-in, or clears all",
		LongHelp: "Kinds: crash refuse reset reset_body truncate end_early freeze silence slow late\n" +
			"answer_lost crossed outage swap_fails report_before_serving",
		Flags: fs,
		Exec: func(ctx context.Context, args []string) error {
			if *clearAll && len(args) == 1 {
				return sendRequest(ctx, http.MethodDelete, args[0]+fault.Path, nil, io.Discard)
			}
			if len(args) != 2 {
				return errors.New("fault: the arguments URL and KIND are required")
			}
			s = fault.Spec{
				Kind: fault.Kind(args[1]), Match: *match, Count: *count,
				DurationMillis: duration.Milliseconds(), Value: *value,
			}
			if err := s.Validate(); err != nil {
				return err
			}
			raw, err := json.Marshal(s)
			if err != nil {
				return err
			}
			return sendRequest(ctx, http.MethodPost, args[0]+fault.Path, raw, io.Discard)
		},
	}
}

func getCommand() *ff.Command {
	fs := ff.NewFlagSet("get")
	method := fs.StringLong("method", "", "method (default: GET, or POST if there is a body)")
	body := fs.StringLong("body", "", "body to send; @- reads it from standard input")
	headers := fs.StringListLong("header", `header "Name: value"; may be given several times`)
	return &ff.Command{
		Name:      "get",
		Usage:     "standin get [FLAGS] URL",
		ShortHelp: "sends one HTTP request and prints the response's body",
		Flags:     fs,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return errors.New("get: exactly one URL is required")
			}
			raw, err := readBody(*body)
			if err != nil {
				return err
			}
			return sendRequest(ctx, methodOrDefault(*method, raw), args[0], raw, os.Stdout, *headers...)
		},
	}
}

// readBody returns the value of --body as bytes; "@-" reads standard input.
func readBody(text string) ([]byte, error) {
	if text == "@-" {
		return io.ReadAll(os.Stdin)
	}
	return []byte(text), nil
}

func methodOrDefault(method string, body []byte) string {
	switch {
	case method != "":
		return method
	case len(body) > 0:
		return http.MethodPost
	default:
		return http.MethodGet
	}
}

func waitCommand() *ff.Command {
	fs := ff.NewFlagSet("wait")
	limit := fs.DurationLong("for", 30*time.Second, "time limit of the wait for all URLs")
	return &ff.Command{
		Name:      "wait",
		Usage:     "standin wait [FLAGS] URL ...",
		ShortHelp: "waits until every URL responds with a 2xx status",
		Flags:     fs,
		Exec: func(ctx context.Context, args []string) error {
			ctx, cancel := context.WithTimeout(ctx, *limit)
			defer cancel()
			for _, url := range args {
				if err := waitUntilOK(ctx, url); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

func waitUntilOK(ctx context.Context, url string) error {
	const retryInterval = 50 * time.Millisecond
	for {
		err := sendRequest(ctx, http.MethodGet, url, nil, io.Discard)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait: %s: %w", url, err)
		case <-time.After(retryInterval):
		}
	}
}

// sendRequest sends one request and writes the response's body to out. A status other than
// 2xx is an error.
func sendRequest(ctx context.Context, method, url string, body []byte, out io.Writer, headers ...string) error {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	for _, header := range headers {
		name, value, _ := strings.Cut(header, ":")
		request.Header.Add(strings.TrimSpace(name), strings.TrimSpace(value))
	}
	response, err := singleUseClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if _, err := io.Copy(out, response.Body); err != nil {
		return err
	}
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("%s %s: unexpected status %s", method, url, response.Status)
	}
	return nil
}
