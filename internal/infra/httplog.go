package infra

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/upstream/exchange"
	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

// HTTPLog is the Log behind the platform's HTTP interface. It is safe for
// concurrent use.
type HTTPLog struct{ client *client }

var _ Log = (*HTTPLog)(nil)

// NewHTTPLog returns a Log at a base URL such as http://10.0.0.1:7000. It
// connects at the first call.
func NewHTTPLog(baseURL string, o Options) (*HTTPLog, error) {
	c, err := newClient(baseURL, o)
	if err != nil {
		return nil, err
	}
	return &HTTPLog{c}, nil
}

// Append sends the records once. ErrUnknown covers everything after the first
// byte but a refusal: an answer that was lost, cut off, late or not readable.
func (l *HTTPLog) Append(ctx context.Context, stream string, records [][]byte) (ident.Offset, error) {
	if len(records) == 0 {
		return 0, fmt.Errorf("%w: append to %s: no records", ErrUnavailable, stream)
	}
	path := recordsPath(stream)
	a, err := l.client.post(ctx, path, wire.AppendRequest{Records: records})
	if err != nil {
		return 0, err
	}
	if a.status != http.StatusOK && a.status != http.StatusCreated {
		return 0, appendRefused(path, a)
	}
	return appendedAt(path, a)
}

func appendRefused(path string, a answer) error {
	if a.didNothing() {
		return fmt.Errorf("%w: POST %s: %w", ErrUnavailable, path, a.statusError())
	}
	return fmt.Errorf("%w: POST %s: %w", ErrUnknown, path, a.statusError())
}

func appendedAt(path string, a answer) (ident.Offset, error) {
	var response wire.AppendResponse
	if err := json.Unmarshal(a.body, &response); err != nil {
		return 0, fmt.Errorf("%w: POST %s: %w", ErrUnknown, path, err)
	}
	if response.Offset < 1 {
		return 0, fmt.Errorf("%w: POST %s: offset %d", ErrUnknown, path, response.Offset)
	}
	return ident.Offset(response.Offset), nil
}

// Read fetches a page. Where the page would exceed Options.MaxBodyBytes it asks
// for fewer records.
func (l *HTTPLog) Read(ctx context.Context, stream string, from ident.Offset, limit int, wait time.Duration) (Page, error) {
	limit = max(limit, 1)
	for {
		page, err := l.read(ctx, stream, from, limit, wait)
		if !errors.Is(err, exchange.ErrTooLarge) || limit == 1 {
			return page, err
		}
		limit /= 2
	}
}

func (l *HTTPLog) read(ctx context.Context, stream string, from ident.Offset, limit int, wait time.Duration) (Page, error) {
	path := fmt.Sprintf("%s?from=%d&max=%d&wait_ms=%d", recordsPath(stream), from, limit, wait.Milliseconds())
	a, err := l.client.get(ctx, path, wait)
	if err != nil {
		return Page{}, err
	}
	page, err := readPage(a, from, limit)
	if err != nil {
		return page, fmt.Errorf("%w: GET %s", err, path)
	}
	return page, nil
}

// readPage checks an answer to a read.
func readPage(a answer, from ident.Offset, limit int) (Page, error) {
	if a.status != http.StatusOK && a.status != http.StatusGone {
		return Page{}, fmt.Errorf("%w: %w", ErrUnavailable, a.statusError())
	}
	var response wire.ReadResponse
	if err := json.Unmarshal(a.body, &response); err != nil {
		return Page{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if a.status == http.StatusGone {
		return expired(response, from)
	}
	if err := checkPage(response, from, limit); err != nil {
		return Page{}, fmt.Errorf("%w: page: %w", ErrUnavailable, err)
	}
	return pageOf(response), nil
}

func expired(response wire.ReadResponse, from ident.Offset) (Page, error) {
	if ident.Offset(response.First) <= from {
		return Page{}, fmt.Errorf("%w: 410, yet the oldest offset is %d", ErrUnavailable, response.First)
	}
	return Page{First: ident.Offset(response.First), Next: ident.Offset(response.Next)}, ErrExpired
}

// checkPage refuses pages that a fold over the log can't rest on: records out of
// order, outside of what was asked, or with a gap where none may be.
func checkPage(response wire.ReadResponse, from ident.Offset, limit int) error {
	if response.First < 0 || response.Next < response.First {
		return fmt.Errorf("first %d, next %d", response.First, response.Next)
	}
	if len(response.Records) > limit {
		return fmt.Errorf("%d records, asked for %d", len(response.Records), limit)
	}
	want := max(int64(from), 1)
	for _, r := range response.Records {
		if r.Offset != want {
			return fmt.Errorf("offset %d where %d was due", r.Offset, want)
		}
		want++
	}
	if len(response.Records) > 0 && want > response.Next {
		return fmt.Errorf("record %d, but next is %d", want-1, response.Next)
	}
	return nil
}

func pageOf(response wire.ReadResponse) Page {
	page := Page{First: ident.Offset(response.First), Next: ident.Offset(response.Next)}
	for _, r := range response.Records {
		page.Records = append(page.Records, Record{
			Offset: ident.Offset(r.Offset),
			Time:   time.UnixMilli(r.UnixMillis),
			Data:   r.Data,
		})
	}
	return page
}

func recordsPath(stream string) string {
	return "/v1/streams/" + url.PathEscape(stream) + "/records"
}
