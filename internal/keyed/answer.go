package keyed

import (
	"bytes"
	"net/http"

	"github.com/dogwoodflow/dogwoodflow/internal/claims"
	"github.com/dogwoodflow/dogwoodflow/internal/upstream"
)

// notReplayed are headers that belong to one connection or one answer, or hold a
// secret, which may not reach the log.
var notReplayed = []string{
	"Connection", "Keep-Alive", "Transfer-Encoding", "Trailer", "Upgrade", "Date",
	"Set-Cookie", "Authorization", "X-Leaving", "X-Request-Id",
}

func releaseOf(claim claims.Record) claims.Record {
	r := claim
	r.Kind = claims.KindRelease
	r.BodyHash = 0
	return r
}

// doneOf makes the record that lets any daemon replay the answer, or say that it
// ran when the answer is nil or too large.
func doneOf(claim claims.Record, answer *upstream.ServiceResponse) claims.Record {
	r := claim
	r.Kind = claims.KindDone
	if answer == nil {
		return r
	}
	kept := &claims.Answer{Status: answer.Status, Header: replayable(answer.Header), Body: bytes.Clone(answer.Body)}
	if kept.Fits() {
		r.Answer = kept
	}
	return r
}

func replayable(h http.Header) http.Header {
	kept := h.Clone()
	for _, name := range notReplayed {
		kept.Del(name)
	}
	return kept
}

func responseOf(a *claims.Answer) *upstream.ServiceResponse {
	header := a.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	return &upstream.ServiceResponse{Status: a.Status, Header: header, Body: bytes.Clone(a.Body)}
}
