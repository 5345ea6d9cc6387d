package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"slices"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/metrics"
)

var (
	// ErrWrongName says that a peer's certificate doesn't name the VM that it is
	// taken for.
	ErrWrongName = errors.New("peer: certificate of another VM")

	refusedCertificates = metrics.Counter("peer_refused_certificates")
)

// Identity is what this daemon proves itself with and judges others by. Both
// ends of each connection show a certificate of one of the authorities.
//
// A certificate names its VM, as a DNS name, and not the VM's IP number: names
// are what digests, owners and leases go by, while numbers are given to the next
// VM when one is replaced. The name is checked exactly, in two places: at the
// dial where the VM is known, and at each hello, on both sides. So a certificate
// taken from one VM can't speak for another. Only a seed, known by its address
// alone, may be any VM of the authority until its hello.
type Identity struct {
	Certificate tls.Certificate
	Authorities *x509.CertPool
	Now         func() time.Time // nil: the system's clock
}

// config has what both ends require. Tickets are off: a resumed session would
// skip the check of a certificate that has expired since.
func (i *Identity) config() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{i.Certificate},
		RootCAs:                i.Authorities,
		ClientCAs:              i.Authorities,
		ClientAuth:             tls.RequireAndVerifyClientCert,
		SessionTicketsDisabled: true,
		Time:                   i.Now,
	}
}

// secureDialled proves both ends of a dialled connection before the token may
// go over it. vm is "" for a seed.
func (i *Identity) secureDialled(ctx context.Context, raw net.Conn, vm ident.VM) (net.Conn, []string, error) {
	config := i.config()
	// The package tls would check the dialled host; verifyDialled checks the same
	// chain, and the VM's name in the host's place.
	config.InsecureSkipVerify = true
	config.VerifyConnection = func(state tls.ConnectionState) error { return i.verifyDialled(state, vm) }
	return handshake(ctx, tls.Client(raw, config))
}

func (i *Identity) verifyDialled(state tls.ConnectionState, vm ident.VM) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer: no certificate")
	}
	options := x509.VerifyOptions{
		Roots:         i.Authorities,
		Intermediates: x509.NewCertPool(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	if i.Now != nil {
		options.CurrentTime = i.Now()
	}
	for _, c := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(c)
	}
	leaf := state.PeerCertificates[0]
	if _, err := leaf.Verify(options); err != nil {
		return fmt.Errorf("peer: certificate: %w", err)
	}
	if vm == "" {
		return nil
	}
	return checkName(leaf.DNSNames, vm)
}

// secureAccepted proves both ends of an accepted connection.
func (i *Identity) secureAccepted(ctx context.Context, raw net.Conn) (net.Conn, []string, error) {
	return handshake(ctx, tls.Server(raw, i.config()))
}

// handshakeError is a connection on which one end didn't take the other's proof.
type handshakeError struct{ cause error }

func (e *handshakeError) Error() string { return "peer: TLS handshake: " + e.cause.Error() }

func (e *handshakeError) Unwrap() error { return e.cause }

// handshake returns the connection and the names of the peer's certificate. It
// closes the connection when it fails.
func handshake(ctx context.Context, conn *tls.Conn) (net.Conn, []string, error) {
	if err := conn.HandshakeContext(ctx); err != nil {
		refusedCertificates.Add(1)
		_ = conn.Close()
		return nil, nil, &handshakeError{err}
	}
	return conn, conn.ConnectionState().PeerCertificates[0].DNSNames, nil
}

// noteRefusal logs the first connection that failed for a certificate; the
// counter has the others. Errors of other kinds aren't its business.
func (s *Service) noteRefusal(err error) {
	var handshake *handshakeError
	if !errors.As(err, &handshake) && !errors.Is(err, ErrWrongName) {
		return
	}
	s.refusal.Do(func() {
		s.options.Log.Warn().Err(err).Msg("a peer connection failed for a certificate; counted from here on")
	})
}

func checkName(names []string, vm ident.VM) error {
	if slices.Contains(names, string(vm)) {
		return nil
	}
	refusedCertificates.Add(1)
	return fmt.Errorf("%w: %q is none of %q", ErrWrongName, vm, names)
}
