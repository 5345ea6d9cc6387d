package settings

import (
	"crypto/tls"
	"os"
)

// loadCertificate reads the certificate of the HTTP ports at start, so that an invalid file
// prevents the start and doesn't fail the first handshake.
func (d *Daemon) loadCertificate() []InvalidSetting {
	cert, key := d.TLSCertFile, d.TLSKeyFile
	if cert == "" && key == "" {
		return nil
	}
	v := validator{}
	certPEM := v.readFile("tls-cert-file", cert, "must be given together with --tls-key-file")
	keyPEM := v.readFile("tls-key-file", key, "must be given together with --tls-cert-file")
	if len(v.invalid) > 0 {
		return v.invalid
	}
	pair, err := tls.X509KeyPair(certPEM, keyPEM)
	if err != nil {
		v.add("tls-cert-file", cert, "must hold a PEM certificate that matches --tls-key-file: "+err.Error())
		return v.invalid
	}
	d.certificate = &pair
	return nil
}

// readFile reads the file that a setting names. It adds the setting as invalid under
// missingRule if path is empty, or if the file can't be read.
func (v *validator) readFile(setting, path, missingRule string) []byte {
	if path == "" {
		v.add(setting, path, missingRule)
		return nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		v.add(setting, path, "must be a file that the daemon can read: "+err.Error())
	}
	return data
}

// TLS returns the TLS configuration of the HTTP ports, nil for plain HTTP.
func (d *Daemon) TLS() *tls.Config {
	if d.certificate == nil {
		return nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*d.certificate}}
}
