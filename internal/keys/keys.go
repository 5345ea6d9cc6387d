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

// Types of the PEM blocks.
const (
	certificateBlock = "CERTIFICATE"
	keyBlock         = "PRIVATE KEY" // PKCS #8
)

// backdate lets a VM whose clock is behind the issuer's take a new certificate.
const backdate = 5 * time.Minute

var (
	// ErrNoName says that a certificate would prove nobody.
	ErrNoName = errors.New("keys: a certificate needs a name or an IP number")
	// ErrNoAuthority says that a pair can't issue certificates.
	ErrNoAuthority = errors.New("keys: not an authority's certificate and key")
	// ErrEmptySecret says that there is nothing to hash.
	ErrEmptySecret = errors.New("keys: the secret is empty")
)

// Pair is a certificate and its private key, both as PEM.
type Pair struct{ Certificate, Key []byte }

// Validity is when a certificate begins to be good and for how long.
type Validity struct {
	From time.Time
	For  time.Duration
}

// NewAuthority makes a certificate authority.
func NewAuthority(name string, v Validity) (Pair, error) {
	template := v.template(name)
	template.IsCA, template.BasicConstraintsValid = true, true
	template.MaxPathLenZero = true // it signs VMs, no further authorities
	template.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageCRLSign
	return sign(template, nil, nil)
}

// Issue makes a VM's certificate for names and IP numbers, good for both ends of
// a connection. It ends with its authority at the latest.
func Issue(authority Pair, names []string, v Validity) (Pair, error) {
	if len(names) == 0 {
		return Pair{}, ErrNoName
	}
	parent, key, err := authority.parse()
	if err != nil {
		return Pair{}, err
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

// Hash returns the form in which the settings tree holds a secret. The line end
// that a terminal or an editor leaves behind it isn't part of it.
func Hash(secret []byte) (string, error) {
	secret = trimLineEnd(secret)
	if len(secret) == 0 {
		return "", ErrEmptySecret
	}
	sum := sha256.Sum256(secret)
	return hex.EncodeToString(sum[:]), nil
}

func trimLineEnd(b []byte) []byte {
	if n := len(b); n > 0 && b[n-1] == '\n' {
		b = b[:n-1]
	}
	if n := len(b); n > 0 && b[n-1] == '\r' {
		b = b[:n-1]
	}
	return b
}

func (v Validity) template(name string) *x509.Certificate {
	return &x509.Certificate{
		Subject:   pkix.Name{CommonName: name},
		NotBefore: v.From.Add(-backdate),
		NotAfter:  v.From.Add(v.For),
	}
}

// sign makes a key and a certificate of it; without a parent it signs itself.
func sign(template, parent *x509.Certificate, parentKey *ecdsa.PrivateKey) (Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, fmt.Errorf("keys: make key: %w", err)
	}
	if parent == nil {
		parent, parentKey = template, key
	}
	template.SerialNumber, err = rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 127))
	if err != nil {
		return Pair{}, fmt.Errorf("keys: make serial number: %w", err)
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	if err != nil {
		return Pair{}, fmt.Errorf("keys: make certificate: %w", err)
	}
	made, err := x509.ParseCertificate(der)
	if err != nil || !slices.Equal(made.DNSNames, template.DNSNames) {
		return Pair{}, fmt.Errorf("keys: %v can't all stand in a certificate: %w", template.DNSNames, err)
	}
	return encode(der, key)
}

func encode(der []byte, key *ecdsa.PrivateKey) (Pair, error) {
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, fmt.Errorf("keys: encode key: %w", err)
	}
	return Pair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: certificateBlock, Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: keyBlock, Bytes: private}),
	}, nil
}

// parse reads an authority's pair. Error: ErrNoAuthority.
func (p Pair) parse() (*x509.Certificate, *ecdsa.PrivateKey, error) {
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
		return nil, nil, ErrNoAuthority
	}
	return certificate, key, nil
}

func parseBlock[T any](data []byte, parse func([]byte) (T, error)) (out T, _ error) {
	block, _ := pem.Decode(data)
	if block == nil {
		return out, fmt.Errorf("%w: no PEM block", ErrNoAuthority)
	}
	out, err := parse(block.Bytes)
	if err != nil {
		return out, fmt.Errorf("%w: %w", ErrNoAuthority, err)
	}
	return out, nil
}
