package settings

import (
	"crypto/tls"
	"os"
)

// loadCertificate reads the certificate of the HTTP ports at start, so that a
// bad file ends the start and not the first handshake.
func (d *Daemon) loadCertificate() []Fault {
	cert, key := d.TLSCertFile, d.TLSKeyFile
	if cert == "" && key == "" {
		return nil
	}
	c := checker{}
	certPEM := c.file("tls-cert-file", cert, "must be given together with --tls-key-file")
	keyPEM := c.file("tls-key-file", key, "must be given together with --tls-cert-file")
	if len(c.faults) > 0 {
		return c.faults
	}
	pair, err := tls.X509KeyPair(certPEM, keyPEM)
	if err != nil {
		c.add("tls-cert-file", cert, "must hold a PEM certificate that matches --tls-key-file: "+err.Error())
		return c.faults
	}
	d.certificate = &pair
	return nil
}

func (c *checker) file(setting, path, whenMissing string) []byte {
	if path == "" {
		c.add(setting, path, whenMissing)
		return nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		c.add(setting, path, "must be a file that the daemon can read: "+err.Error())
	}
	return data
}

// TLS returns the configuration of the HTTP ports, nil for plain HTTP.
func (d *Daemon) TLS() *tls.Config {
	if d.certificate == nil {
		return nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*d.certificate}}
}
