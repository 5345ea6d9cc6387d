package peer

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"

	"storj.io/drpc"
	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcmetadata"

	"github.com/dogwoodflow/dogwoodflow/internal/metrics"
)

// tokenKey is the metadata entry that carries the peers' shared secret.
const tokenKey = "token"

// ErrUnauthenticated says that a caller didn't show the peers' token.
var ErrUnauthenticated = errors.New("peer: wrong or missing peer token")

var refusedTokens = metrics.Counter("peer_refused_tokens")

// withToken puts the secret into a call's metadata.
func withToken(ctx context.Context, token string) context.Context {
	return drpcmetadata.Add(ctx, tokenKey, token)
}

// guard lets only calls with the token through and closes the connection of
// any other, so that a stranger can't go on guessing on it.
type guard struct {
	token   [sha256.Size]byte
	handler drpc.Handler
	refused func()
}

func newGuard(token string, handler drpc.Handler, refused func()) *guard {
	return &guard{token: sha256.Sum256([]byte(token)), handler: handler, refused: refused}
}

// HandleRPC implements drpc.Handler.
func (g *guard) HandleRPC(stream drpc.Stream, rpc string) error {
	if !g.allows(stream.Context()) {
		refusedTokens.Add(1)
		g.refused()
		closeTransport(stream)
		return ErrUnauthenticated
	}
	return g.handler.HandleRPC(stream, rpc)
}

// allows compares hashes in constant time, so that neither the time taken nor
// the length tells anything of the token.
func (g *guard) allows(ctx context.Context) bool {
	metadata, _ := drpcmetadata.Get(ctx)
	shown := sha256.Sum256([]byte(metadata[tokenKey]))
	return subtle.ConstantTimeCompare(shown[:], g.token[:]) == 1
}

func closeTransport(stream drpc.Stream) {
	if transport, ok := drpcctx.Transport(stream.Context()); ok {
		_ = transport.Close() // closing twice is the only way to fail
	}
}
