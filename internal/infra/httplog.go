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

// HTTPLog is a Log that calls the platform's HTTP API. It is safe for concurrent use.
type HTTPLog struct{ client *client }

var _ Log = (*HTTPLog)(nil)

// NewHTTPLog returns a Log for a base URL such as http://10.0.0.1:7000. It connects
// at the first call.
func NewHTTPLog(baseURL string, o Options) (*HTTPLog, error) {
	c, err := newClient(baseURL, o)
	if err != nil {
		return nil, err
	}
	return &HTTPLog{c}, nil
}

// Append sends the records once. Once a byte was sent, every failure except a refusal is an
// ErrUnknown: a response that is lost, truncated, late or malformed.
func (l *HTTPLog) Append(ctx context.Context, stream string, records [][]byte) (ident.Offset, error) {
	if len(records) == 0 {
		return 0, fmt.Errorf("%w: append to %s: no records", ErrUnavailable, stream)
	}
	path := recordsPath(stream)
	resp, err := l.client.post(ctx, path, wire.AppendRequest{Records: records})
	if err != nil {
		return 0, err
	}
	if resp.status != http.StatusOK && resp.status != http.StatusCreated {
		return 0, appendError(path, resp)
	}
	return appendedOffset(path, resp)
}

// appendError returns the error for a response whose status isn't a success.
func appendError(path string, resp response) error {
	if resp.refused() {
		return fmt.Errorf("%w: POST %s: %w", ErrUnavailable, path, resp.statusError())
	}
	return fmt.Errorf("%w: POST %s: %w", ErrUnknown, path, resp.statusError())
}

// appendedOffset decodes the response to an append.
func appendedOffset(path string, resp response) (ident.Offset, error) {
	var decoded wire.AppendResponse
	if err := json.Unmarshal(resp.body, &decoded); err != nil {
		return 0, fmt.Errorf("%w: POST %s: %w", ErrUnknown, path, err)
	}
	if decoded.Offset < 1 {
		return 0, fmt.Errorf("%w: POST %s: offset %d", ErrUnknown, path, decoded.Offset)
	}
	return ident.Offset(decoded.Offset), nil
}

// Read fetches a page. If the page exceeds Options.MaxBodyBytes, it asks again for half as many
// records.
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
	resp, err := l.client.get(ctx, path, wait)
	if err != nil {
		return Page{}, err
	}
	page, err := readPage(resp, from, limit)
	if err != nil {
		return page, fmt.Errorf("%w: GET %s", err, path)
	}
	return page, nil
}

// readPage decodes and checks the response to a read.
func readPage(resp response, from ident.Offset, limit int) (Page, error) {
	if resp.status != http.StatusOK && resp.status != http.StatusGone {
		return Page{}, fmt.Errorf("%w: %w", ErrUnavailable, resp.statusError())
	}
	var decoded wire.ReadResponse
	if err := json.Unmarshal(resp.body, &decoded); err != nil {
		return Page{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if resp.status == http.StatusGone {
		return expiredPage(decoded, from)
	}
	if err := checkPage(decoded, from, limit); err != nil {
		return Page{}, fmt.Errorf("%w: page: %w", ErrUnavailable, err)
	}
	return toPage(decoded), nil
}

// expiredPage returns the page for a response that says that offset from is past retention.
func expiredPage(decoded wire.ReadResponse, from ident.Offset) (Page, error) {
	if ident.Offset(decoded.First) <= from {
		return Page{}, fmt.Errorf("%w: status 410, but the oldest offset is %d", ErrUnavailable, decoded.First)
	}
	return Page{First: ident.Offset(decoded.First), Next: ident.Offset(decoded.Next)}, ErrExpired
}

// checkPage returns an error if the records aren't consecutive from offset from on, are more
// than limit, or reach past the end of the stream. State computed from such a page would be
// wrong.
func checkPage(decoded wire.ReadResponse, from ident.Offset, limit int) error {
	if decoded.First < 0 || decoded.Next < decoded.First {
		return fmt.Errorf("first %d, next %d", decoded.First, decoded.Next)
	}
	if len(decoded.Records) > limit {
		return fmt.Errorf("%d records, the limit is %d", len(decoded.Records), limit)
	}
	expected := max(int64(from), 1)
	for _, r := range decoded.Records {
		if r.Offset != expected {
			return fmt.Errorf("offset %d, expected %d", r.Offset, expected)
		}
		expected++
	}
	if len(decoded.Records) > 0 && expected > decoded.Next {
		return fmt.Errorf("record %d, but next is %d", expected-1, decoded.Next)
	}
	return nil
}

func toPage(decoded wire.ReadResponse) Page {
	page := Page{First: ident.Offset(decoded.First), Next: ident.Offset(decoded.Next)}
	for _, r := range decoded.Records {
		page.Records = append(page.Records, Record{
			Offset: ident.Offset(r.Offset),
			Time:   time.UnixMilli(r.UnixMillis),
			Data:   r.Data,
		})
	}
	return page
}

// recordsPath returns the URL path of a stream's records.
func recordsPath(stream string) string {
	return "/v1/streams/" + url.PathEscape(stream) + "/records"
}
