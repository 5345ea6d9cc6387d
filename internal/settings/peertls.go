package settings

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"slices"
	"time"
)

// PeerIdentity holds what mutual TLS between daemons needs.
type PeerIdentity struct {
	Certificate tls.Certificate // that this daemon presents to its peers
	Authorities *x509.CertPool  // that must have signed the peers' certificates
}

// loadPeerIdentity reads the three files of the peer port at start. It rejects a
// certificate that peers would reject: the daemon would run on its own, and consider itself
// the owner of every step.
func (d *Daemon) loadPeerIdentity(now time.Time) []InvalidSetting {
	if d.peerCertFile == "" && d.peerKeyFile == "" && d.peerCAFile == "" {
		return nil
	}
	v := validator{}
	const togetherRule = "must be given together with the other two of --peer-cert-file, --peer-key-file and --peer-ca-file"
	certPEM := v.readFile("peer-cert-file", d.peerCertFile, togetherRule)
	keyPEM := v.readFile("peer-key-file", d.peerKeyFile, togetherRule)
	caPEM := v.readFile("peer-ca-file", d.peerCAFile, togetherRule)
	if len(v.invalid) > 0 {
		return v.invalid
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(caPEM) {
		v.add("peer-ca-file", d.peerCAFile, "must hold PEM certificates of authorities")
	}
	pair, err := tls.X509KeyPair(certPEM, keyPEM)
	if err != nil {
		v.add("peer-cert-file", d.peerCertFile, "must hold a PEM certificate that matches --peer-key-file: "+err.Error())
	}
	if len(v.invalid) > 0 {
		return v.invalid
	}
	if rule := violatedRule(pair, authorities, string(d.VM), now); rule != "" {
		v.add("peer-cert-file", d.peerCertFile, rule)
		return v.invalid
	}
	d.PeerIdentity = &PeerIdentity{Certificate: pair, Authorities: authorities}
	return nil
}

// violatedRule returns the rule because of which peers would reject the certificate at the
// given time, "" if they would accept it.
func violatedRule(pair tls.Certificate, authorities *x509.CertPool, vm string, now time.Time) string {
	options := x509.VerifyOptions{Roots: authorities, Intermediates: x509.NewCertPool(), CurrentTime: now}
	for _, der := range pair.Certificate[1:] {
		if cert, err := x509.ParseCertificate(der); err == nil {
			options.Intermediates.AddCert(cert)
		}
	}
	for _, usage := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
		options.KeyUsages = []x509.ExtKeyUsage{usage}
		if _, err := pair.Leaf.Verify(options); err != nil {
			return "must be valid now, for servers and clients, and signed by an authority in --peer-ca-file: " + err.Error()
		}
	}
	if !slices.Contains(pair.Leaf.DNSNames, vm) {
		return fmt.Sprintf("must name this VM, %q, among its DNS names %q", vm, pair.Leaf.DNSNames)
	}
	return ""
}
