package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/keys"
)

var issued = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newAuthority() keys.KeyPair {
	GinkgoHelper()
	ca, err := keys.NewAuthority("fleet", keys.Validity{IssuedAt: issued, Duration: 1000 * time.Hour})
	Expect(err).NotTo(HaveOccurred())
	return ca
}

// identity is a VM's, by an authority, good for 100 hours from issued on; at is
// its clock.
func identity(ca keys.KeyPair, vm string, at time.Time) *Identity {
	GinkgoHelper()
	pair, err := keys.Issue(ca, []string{vm, "127.0.0.1"}, keys.Validity{IssuedAt: issued, Duration: 100 * time.Hour})
	Expect(err).NotTo(HaveOccurred())
	certificate, err := tls.X509KeyPair(pair.Certificate, pair.Key)
	Expect(err).NotTo(HaveOccurred())
	pool := x509.NewCertPool()
	Expect(pool.AppendCertsFromPEM(ca.Certificate)).To(BeTrue())
	return &Identity{Certificate: certificate, Authorities: pool, Now: func() time.Time { return at }}
}

// shake connects two identities over loopback. The dialler reads once behind its handshake: with TLS 1.3 it learns only there
// that it was refused.
func shake(dialler, acceptor *Identity, vm ident.VM) (dialErr, acceptErr error) {
	GinkgoHelper()
	return shakeWith(acceptor, func(ctx context.Context, raw net.Conn) (net.Conn, []string, error) {
		return dialler.secureDialled(ctx, raw, vm)
	})
}

type secure func(context.Context, net.Conn) (net.Conn, []string, error)

func shakeWith(acceptor *Identity, dialler secure) (dialErr, acceptErr error) {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), generous)
	defer cancel()
	accepted := make(chan error, 1)
	go func() { accepted <- acceptOne(ctx, listener, acceptor) }()
	dialErr = dialOne(ctx, listener.Addr().String(), dialler)
	return dialErr, <-accepted
}

func acceptOne(ctx context.Context, listener net.Listener, identity *Identity) error {
	raw, err := listener.Accept()
	if err != nil {
		return err
	}
	conn, _, err := identity.secureAccepted(ctx, raw)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_, err = conn.Write([]byte{1})
	return err
}

func dialOne(ctx context.Context, address string, dialler secure) error {
	raw, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	conn, _, err := dialler(ctx, raw)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_, err = conn.Read(make([]byte, 1))
	return err
}

var _ = Describe("certificates of peers", func() {
	now := issued.Add(time.Hour)

	It("let daemons of one authority meet, and forward to each other", func() {
		ca := newAuthority()
		a, _ := startDaemon("a", func(o *Options) { o.Identity = identity(ca, "a", now) })
		b, _ := startDaemon("b", func(o *Options) { o.Identity = identity(ca, "b", now) }, a.Address())
		Eventually(a.live, generous, often).Should(ConsistOf(ident.VM("b")))
		Eventually(b.live, generous, often).Should(ConsistOf(ident.VM("a")))
		Expect(b.ForwardCancel(context.Background(), "a", "t", "j", 1)).To(Succeed())
	})

	// Someone answers at a daemon's address, or dials its port, with a certificate
	// that the fleet's authority never signed, or none. The token must not reach
	// him, and he must not get as far as showing one.
	It("keep strangers out on both sides", func() {
		ca, other := newAuthority(), newAuthority()
		vm, stranger := identity(ca, "a", now), identity(other, "a", now)
		dialErr, _ := shake(vm, stranger, "a")
		Expect(dialErr).To(MatchError(ContainSubstring("unknown authority")))
		for _, shown := range []struct {
			certificate tls.Certificate
			refusal     string
		}{{stranger.Certificate, "unknown authority"}, {tls.Certificate{}, "didn't provide a certificate"}} {
			dialErr, acceptErr := shakeWith(vm, func(ctx context.Context, raw net.Conn) (net.Conn, []string, error) {
				return handshake(ctx, tls.Client(raw, &tls.Config{
					InsecureSkipVerify: true, // a stranger takes whoever answers
					GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
						return &shown.certificate, nil
					},
				}))
			})
			Expect(acceptErr).To(MatchError(ContainSubstring(shown.refusal)))
			Expect(dialErr).To(HaveOccurred())
		}
	})

	// Nobody renewed a VM's certificate. From its last second on it is refused, as
	// the dialler and as the one dialled, though nothing else changed.
	It("are refused once they have expired", func() {
		ca := newAuthority()
		last, late := issued.Add(100*time.Hour), issued.Add(100*time.Hour+time.Second)
		dialErr, acceptErr := shake(identity(ca, "a", last), identity(ca, "b", last), "b")
		Expect(errors.Join(dialErr, acceptErr)).To(Succeed())
		dialErr, _ = shake(identity(ca, "a", late), identity(ca, "b", last), "b")
		Expect(dialErr).To(MatchError(ContainSubstring("expired")))
		_, acceptErr = shake(identity(ca, "a", last), identity(ca, "b", late), "b")
		Expect(acceptErr).To(MatchError(ContainSubstring("expired")))
	})

	// The certificate of one VM is stolen. With it and the token, the thief calls
	// himself another VM: at that one's address, or in his hello. He is refused,
	// or he could take over the steps of any daemon.
	It("speak for their own VM only", func() {
		ca := newAuthority()
		dialErr, _ := shake(identity(ca, "a", now), identity(ca, "stolen", now), "b")
		Expect(errors.Is(dialErr, ErrWrongName)).To(BeTrue(), "%v", dialErr)
		before := refusedCertificates.Value()
		a, _ := startDaemon("a", func(o *Options) { o.Identity = identity(ca, "a", now) })
		startDaemon("b", func(o *Options) { o.Identity = identity(ca, "stolen", now) }, a.Address())
		Eventually(refusedCertificates.Value, generous, often).Should(BeNumerically(">", before))
		Expect(a.live()).To(BeEmpty())
	})

	// During a change to TLS some daemons have certificates and some don't. They
	// must not fall back to the clear with each other.
	It("aren't done without by a daemon that has one", func() {
		a, _ := startDaemon("a", func(o *Options) { o.Identity = identity(newAuthority(), "a", now) })
		b, _ := startDaemon("b", nil, a.Address())
		before := refusedCertificates.Value()
		Eventually(refusedCertificates.Value, generous, often).Should(BeNumerically(">", before))
		Expect(a.live()).To(BeEmpty())
		Expect(b.live()).To(BeEmpty())
	})
})
