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
	// maxRead bounds the records of one answer, maxWait a long poll.
	maxRead = 1000
	maxWait = 30 * time.Second
)

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from := max(number(query.Get("from"), 1), 1)
	limit := min(max(number(query.Get("max"), maxRead), 1), maxRead)
	wait := min(time.Duration(number(query.Get("wait_ms"), 0))*time.Millisecond, maxWait)
	time.Sleep(l.options.Latency)
	page, expired := l.stream(mux.Vars(r)["stream"]).read(r.Context(), from, int(limit), wait)
	if expired {
		host.WriteJSON(w, http.StatusGone, page)
		return
	}
	host.WriteJSON(w, http.StatusOK, page)
}

func number(text string, fallback int64) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return fallback
	}
	return n
}

// read returns records from an offset on and waits for the first of them.
func (s *stream) read(ctx context.Context, from int64, limit int, wait time.Duration) (page wire.ReadResponse, expired bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, expired, grown := s.page(from, limit, time.Now())
		if expired || len(page.Records) > 0 || wait <= 0 {
			return page, expired
		}
		select {
		case <-grown:
		case <-timer.C:
			return page, false
		case <-ctx.Done():
			return page, false
		}
	}
}
