package settings

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"slices"
	"time"
)

// PeerIdentity is what this daemon proves itself with to the others, and the
// authorities that it takes the others' certificates from.
type PeerIdentity struct {
	Certificate tls.Certificate
	Authorities *x509.CertPool
}

// loadPeerIdentity reads the three files of the peer port at start. A daemon
// whose own certificate the others would refuse doesn't start: it would run
// alone and take itself for the owner of every step.
func (d *Daemon) loadPeerIdentity(now time.Time) []Fault {
	if d.peerCertFile == "" && d.peerKeyFile == "" && d.peerCAFile == "" {
		return nil
	}
	c := checker{}
	const together = "must be given together with the other two of --peer-cert-file, --peer-key-file and --peer-ca-file"
	certPEM := c.file("peer-cert-file", d.peerCertFile, together)
	keyPEM := c.file("peer-key-file", d.peerKeyFile, together)
	caPEM := c.file("peer-ca-file", d.peerCAFile, together)
	if len(c.faults) > 0 {
		return c.faults
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(caPEM) {
		c.add("peer-ca-file", d.peerCAFile, "must hold PEM certificates of authorities")
	}
	pair, err := tls.X509KeyPair(certPEM, keyPEM)
	if err != nil {
		c.add("peer-cert-file", d.peerCertFile, "must hold a PEM certificate that matches --peer-key-file: "+err.Error())
	}
	if len(c.faults) > 0 {
		return c.faults
	}
	if rule := unfit(pair, authorities, string(d.VM), now); rule != "" {
		c.add("peer-cert-file", d.peerCertFile, rule)
		return c.faults
	}
	d.PeerIdentity = &PeerIdentity{Certificate: pair, Authorities: authorities}
	return nil
}

// unfit says why peers would refuse a certificate, "" if they wouldn't.
func unfit(pair tls.Certificate, authorities *x509.CertPool, vm string, now time.Time) string {
	options := x509.VerifyOptions{Roots: authorities, Intermediates: x509.NewCertPool(), CurrentTime: now}
	for _, der := range pair.Certificate[1:] {
		if c, err := x509.ParseCertificate(der); err == nil {
			options.Intermediates.AddCert(c)
		}
	}
	for _, usage := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
		options.KeyUsages = []x509.ExtKeyUsage{usage}
		if _, err := pair.Leaf.Verify(options); err != nil {
			return "must be good now, for both ends of a connection, by --peer-ca-file: " + err.Error()
		}
	}
	if !slices.Contains(pair.Leaf.DNSNames, vm) {
		return fmt.Sprintf("must name this VM, %q, among its DNS names %q", vm, pair.Leaf.DNSNames)
	}
	return ""
}
