package log

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/dogwoodflow/dogwoodflow/internal/standin/host"
	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

const (
	maxReadRecords = 1000             // in one response
	maxReadWait    = 30 * time.Second // of a long poll
)

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from := max(parseNumber(query.Get("from"), 1), 1)
	limit := min(max(parseNumber(query.Get("max"), maxReadRecords), 1), maxReadRecords)
	wait := min(time.Duration(parseNumber(query.Get("wait_ms"), 0))*time.Millisecond, maxReadWait)
	time.Sleep(l.options.Latency)
	page, expired := l.stream(mux.Vars(r)["stream"]).read(r.Context(), from, int(limit), wait)
	if expired {
		host.WriteJSON(w, http.StatusGone, page)
		return
	}
	host.WriteJSON(w, http.StatusOK, page)
}

// parseNumber returns the number that text holds, or fallback if it holds none.
func parseNumber(text string, fallback int64) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return fallback
	}
	return n
}

// read returns the records from an offset on and waits for the first one if there is
// none. It returns expired if the offset is older than the oldest retained record.
func (s *stream) read(ctx context.Context, from int64, limit int, wait time.Duration) (page wire.ReadResponse, expired bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, expired, appended := s.currentPage(from, limit, time.Now())
		if expired || len(page.Records) > 0 || wait <= 0 {
			return page, expired
		}
		select {
		case <-appended:
		case <-timer.C:
			return page, false
		case <-ctx.Done():
			return page, false
		}
	}
}
