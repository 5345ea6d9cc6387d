package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"slices"
	"time"
)

// PEM block types.
const (
	certificateBlock = "CERTIFICATE"
	keyBlock         = "PRIVATE KEY" // PKCS #8
)

// clockTolerance is how long before its issue a certificate starts to be valid, so that VMs
// whose clocks are behind the issuer's accept it at once.
const clockTolerance = 5 * time.Minute

var (
	// ErrMissingName is returned for a certificate without a DNS name or IP address.
	ErrMissingName = errors.New("keys: a certificate needs a DNS name or an IP address")
	// ErrInvalidAuthority is returned for a pair that can't issue certificates.
	ErrInvalidAuthority = errors.New("keys: not the certificate and key of a certificate authority")
	// ErrEmptySecret is returned for an empty secret.
	ErrEmptySecret = errors.New("keys: the secret is empty")
)

// KeyPair is a certificate and its private key, both PEM-encoded.
type KeyPair struct{ Certificate, Key []byte }

// Validity is the period of validity of a certificate.
type Validity struct {
	IssuedAt time.Time // time of issue
	Duration time.Duration
}

// NewAuthority creates a certificate authority. The name is for people only.
func NewAuthority(name string, v Validity) (KeyPair, error) {
	template := v.template(name)
	template.IsCA, template.BasicConstraintsValid = true, true
	template.MaxPathLenZero = true // it signs certificates of VMs, not of other authorities
	template.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageCRLSign
	return sign(template, nil, nil)
}

// Issue creates a VM's certificate for DNS names and IP addresses. It is valid for servers and
// clients, and expires no later than the authority's certificate.
func Issue(authority KeyPair, names []string, v Validity) (KeyPair, error) {
	if len(names) == 0 {
		return KeyPair{}, ErrMissingName
	}
	parent, key, err := authority.parse()
	if err != nil {
		return KeyPair{}, err
	}
	template := v.template(names[0])
	if template.NotAfter.After(parent.NotAfter) {
		template.NotAfter = parent.NotAfter
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	for _, name := range names {
		if ip := net.ParseIP(name); ip != nil {
			template.IPAddresses = append(template.IPAddresses, ip)
			continue
		}
		template.DNSNames = append(template.DNSNames, name)
	}
	return sign(template, parent, key)
}

// Hash returns the hexadecimal SHA-256 of a secret, the form in which the settings tree
// contains it. A line end after the secret, as terminals and editors add it, is ignored.
func Hash(secret []byte) (string, error) {
	secret = trimLineEnd(secret)
	if len(secret) == 0 {
		return "", ErrEmptySecret
	}
	sum := sha256.Sum256(secret)
	return hex.EncodeToString(sum[:]), nil
}

// trimLineEnd removes one line end, LF, CR or CRLF, from the end of b.
func trimLineEnd(b []byte) []byte {
	if n := len(b); n > 0 && b[n-1] == '\n' {
		b = b[:n-1]
	}
	if n := len(b); n > 0 && b[n-1] == '\r' {
		b = b[:n-1]
	}
	return b
}

// template returns a certificate template with the subject and the period of validity.
func (v Validity) template(name string) *x509.Certificate {
	return &x509.Certificate{
		Subject:   pkix.Name{CommonName: name},
		NotBefore: v.IssuedAt.Add(-clockTolerance),
		NotAfter:  v.IssuedAt.Add(v.Duration),
	}
}

// sign generates a key and signs a certificate for it. If parent is nil, the certificate is
// self-signed.
func sign(template, parent *x509.Certificate, parentKey *ecdsa.PrivateKey) (KeyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, fmt.Errorf("keys: generate key: %w", err)
	}
	if parent == nil {
		parent, parentKey = template, key
	}
	template.SerialNumber, err = rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 127))
	if err != nil {
		return KeyPair{}, fmt.Errorf("keys: generate serial number: %w", err)
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	if err != nil {
		return KeyPair{}, fmt.Errorf("keys: create certificate: %w", err)
	}
	created, err := x509.ParseCertificate(der)
	if err != nil || !slices.Equal(created.DNSNames, template.DNSNames) {
		return KeyPair{}, fmt.Errorf("keys: not all of the names %v are valid in a certificate: %w", template.DNSNames, err)
	}
	return encode(der, key)
}

// encode returns a DER-encoded certificate and its key as PEM.
func encode(der []byte, key *ecdsa.PrivateKey) (KeyPair, error) {
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return KeyPair{}, fmt.Errorf("keys: encode key: %w", err)
	}
	return KeyPair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: certificateBlock, Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: keyBlock, Bytes: private}),
	}, nil
}

// parse parses an authority's pair. Error: ErrInvalidAuthority.
func (p KeyPair) parse() (*x509.Certificate, *ecdsa.PrivateKey, error) {
	certificate, err := parseBlock(p.Certificate, x509.ParseCertificate)
	if err != nil {
		return nil, nil, err
	}
	private, err := parseBlock(p.Key, x509.ParsePKCS8PrivateKey)
	if err != nil {
		return nil, nil, err
	}
	key, ok := private.(*ecdsa.PrivateKey)
	if !ok || !certificate.IsCA || !key.PublicKey.Equal(certificate.PublicKey) {
		return nil, nil, ErrInvalidAuthority
	}
	return certificate, key, nil
}

// parseBlock decodes the first PEM block of data and parses its contents. Error:
// ErrInvalidAuthority.
func parseBlock[T any](data []byte, parse func([]byte) (T, error)) (out T, _ error) {
	block, _ := pem.Decode(data)
	if block == nil {
		return out, fmt.Errorf("%w: no PEM block", ErrInvalidAuthority)
	}
	out, err := parse(block.Bytes)
	if err != nil {
		return out, fmt.Errorf("%w: %w", ErrInvalidAuthority, err)
	}
	return out, nil
}
