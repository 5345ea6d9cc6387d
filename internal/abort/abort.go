// Package abort breaks off HTTP responses that can't be completed.
package abort

import (
	"crypto/tls"
	"net/http"
)

// Response breaks off a response whose header was sent, so that it doesn't look complete. It
// doesn't return. net/http closes the connection without the last chunk; an HTTP/1.0 client, to
// which the close is the end of the body, gets a TCP reset.
func Response(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		reset(w)
	}
	panic(http.ErrAbortHandler)
}

// reset closes the connection of a response by a TCP reset.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the connection is closed already
	}
	if encrypted, ok := conn.(*tls.Conn); ok {
		conn = encrypted.NetConn() // its own Close would tell the client that nothing is missing
	}
	if c, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = c.SetLinger(0)
	}
	_ = conn.Close()
}
