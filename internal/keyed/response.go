package keyed

import (
	"bytes"
	"net/http"

	"github.com/dogwoodflow/dogwoodflow/internal/claims"
	"github.com/dogwoodflow/dogwoodflow/internal/upstream"
)

// notReplayed lists the headers that apply to one connection or one response only, and those
// that hold secrets, which must not be written to the log.
var notReplayed = []string{
	"Connection", "Keep-Alive", "Transfer-Encoding", "Trailer", "Upgrade", "Date",
	"Set-Cookie", "Authorization", "X-Leaving", "X-Request-Id",
}

// releaseRecord returns the record that releases a claim.
func releaseRecord(claim claims.Record) claims.Record {
	r := claim
	r.Kind = claims.KindRelease
	r.BodyHash = 0
	return r
}

// doneRecord returns the record that lets any daemon replay the response. If the response is
// nil or too large, the record only says that the request ran.
func doneRecord(claim claims.Record, response *upstream.ServiceResponse) claims.Record {
	r := claim
	r.Kind = claims.KindDone
	if response == nil {
		return r
	}
	kept := &claims.Answer{Status: response.Status, Header: replayableHeaders(response.Header), Body: bytes.Clone(response.Body)}
	if kept.Fits() {
		r.Answer = kept
	}
	return r
}

// replayableHeaders returns a copy of the headers without those that may not be replayed.
func replayableHeaders(h http.Header) http.Header {
	kept := h.Clone()
	for _, name := range notReplayed {
		kept.Del(name)
	}
	return kept
}

// responseOf returns a copy of a kept response.
func responseOf(kept *claims.Answer) *upstream.ServiceResponse {
	header := kept.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	return &upstream.ServiceResponse{Status: kept.Status, Header: header, Body: bytes.Clone(kept.Body)}
}
