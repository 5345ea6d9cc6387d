package settings_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/keys"
	"github.com/dogwoodflow/dogwoodflow/internal/settings"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

var requiredArgs = []string{
	"--vm=entry-1", "--data-centre=semarang", "--log-url=http://127.0.0.1:9000",
	"--weights-url=http://127.0.0.1:9001", "--vm-list-url=http://127.0.0.1:9002",
}

var _ = Describe("daemon settings", func() {
	BeforeEach(func() {
		GinkgoT().Setenv("DOGWOODFLOW_ADMIN_TOKEN", "admin-secret-0123456789")
		GinkgoT().Setenv("DOGWOODFLOW_PEER_TOKEN", "peer-secret-0123456789")
	})

	It("reads settings from environment variables if no flag is given", func() {
		GinkgoT().Setenv("DOGWOODFLOW_PEER_SEEDS", "127.0.0.1:1, 127.0.0.1:2")
		d, err := settings.Parse(requiredArgs)
		Expect(err).NotTo(HaveOccurred())
		Expect(d.PeerSeeds).To(Equal([]string{"127.0.0.1:1", "127.0.0.1:2"}))
		Expect(d.PeerAdvertise).To(Equal(d.PeerAddress))
	})

	It("lists all invalid settings, with their values and the rules that they violate", func() {
		_, err := settings.Parse([]string{"--vm=Bad Name", "--policy=x", "--caller-address=host:1", "--admin-address=127.0.0.1:8083"})
		var invalid *settings.InvalidError
		Expect(err).To(BeAssignableToTypeOf(invalid))
		Expect(err.Error()).To(And(
			ContainSubstring(`--vm: "Bad Name": must be`), ContainSubstring("--data-centre"),
			ContainSubstring(`--policy: "x": must be one of ours, naive`), ContainSubstring(`--caller-address: "host:1"`),
			ContainSubstring("--log-url"), ContainSubstring("is already taken by --admin-address")))
	})

	It("validates the settings that apply on the platform", func() {
		_, err := settings.Parse([]string{"--boot=/boot.json", "--policy=x", "--log-level=loud", "--without=magic", "--metrics-address=nowhere"})
		Expect(err).To(MatchError(And(ContainSubstring("--policy"), ContainSubstring("--log-level"), ContainSubstring(`no mechanism "magic"`), ContainSubstring("--metrics-address"))))
		_, err = settings.Parse([]string{"--boot=/boot.json", "--policy=naive", "--metrics-address=127.0.0.1:9464"})
		Expect(err).NotTo(HaveOccurred())
	})

	It("hides secrets in formatted settings", func() {
		d, err := settings.Parse(requiredArgs)
		Expect(err).NotTo(HaveOccurred())
		Expect(fmt.Sprintf("%v %+v %#v", d.AdminToken, d, d)).NotTo(ContainSubstring("0123456789"))
	})

	It("rejects a short secret without showing it", func() {
		GinkgoT().Setenv("DOGWOODFLOW_PEER_TOKEN", "hunter2")
		_, err := settings.Parse(requiredArgs)
		Expect(err).To(MatchError(ContainSubstring("--peer-token-file")))
		Expect(err.Error()).NotTo(ContainSubstring("hunter2"))
	})
})

var _ = Describe("TLS settings", func() {
	var dir string

	BeforeEach(func() {
		GinkgoT().Setenv("DOGWOODFLOW_ADMIN_TOKEN", "admin-secret-0123456789")
		GinkgoT().Setenv("DOGWOODFLOW_PEER_TOKEN", "peer-secret-0123456789")
		dir = GinkgoT().TempDir()
		for _, name := range []string{"a", "b"} {
			writeCertificate(filepath.Join(dir, name))
		}
	})

	parse := func(cert, key string) (*settings.Daemon, error) {
		return settings.Parse(append([]string{"--tls-cert-file", cert, "--tls-key-file", key}, requiredArgs...))
	}

	It("serves a certificate with TLS 1.2 or newer, and plain HTTP without one", func() {
		d, err := parse(filepath.Join(dir, "a.crt"), filepath.Join(dir, "a.key"))
		Expect(err).NotTo(HaveOccurred())
		Expect(d.TLS().MinVersion).To(BeEquivalentTo(tls.VersionTLS12))
		Expect(d.TLS().Certificates).To(HaveLen(1))
		d, err = settings.Parse(requiredArgs)
		Expect(err).NotTo(HaveOccurred())
		Expect(d.TLS()).To(BeNil())
	})

	DescribeTable("rejects certificates that can't be served, and reports the other invalid settings too",
		func(cert, key, setting, rule string) {
			path := func(name string) string {
				if name == "" {
					return ""
				}
				return filepath.Join(dir, name)
			}
			_, err := settings.Parse(append([]string{"--tls-cert-file", path(cert), "--tls-key-file", path(key), "--policy=x"}, requiredArgs...))
			Expect(err).To(MatchError(And(ContainSubstring(setting), ContainSubstring(rule), ContainSubstring("--policy"))))
		},
		Entry("no key", "a.crt", "", "--tls-key-file", "together"),
		Entry("no certificate", "", "a.key", "--tls-cert-file", "together"),
		Entry("unreadable", "none.crt", "a.key", "--tls-cert-file", "must be a file that the daemon can read"),
		Entry("key of another certificate", "a.crt", "b.key", "--tls-cert-file", "matches --tls-key-file"),
		Entry("a directory", ".", "a.key", "--tls-cert-file", "must be a file"),
		Entry("certificate and key swapped", "a.key", "a.crt", "--tls-cert-file", "PEM certificate"),
	)

	// A daemon whose certificate its peers reject would run on its own and consider itself the
	// owner of every step. It must not start with such a certificate.
	It("accepts a peer certificate only if the peers would accept it", func() {
		now := time.Now()
		valid := keys.Validity{IssuedAt: now, Duration: time.Hour}
		ca, err := keys.NewAuthority("fleet", valid)
		Expect(err).NotTo(HaveOccurred())
		otherCA, err := keys.NewAuthority("other", valid)
		Expect(err).NotTo(HaveOccurred())
		for name, issue := range map[string]struct {
			by    keys.KeyPair
			vm    string
			valid keys.Validity
		}{
			"good": {ca, "entry-1", valid}, "other-ca": {otherCA, "entry-1", valid}, "other-vm": {ca, "entry-2", valid},
			"expired": {ca, "entry-1", keys.Validity{IssuedAt: now.Add(-time.Hour), Duration: time.Minute}},
		} {
			pair, err := keys.Issue(issue.by, []string{issue.vm}, issue.valid)
			Expect(err).NotTo(HaveOccurred())
			Expect(os.WriteFile(filepath.Join(dir, name+".crt"), pair.Certificate, 0o600)).To(Succeed())
			Expect(os.WriteFile(filepath.Join(dir, name+".key"), pair.Key, 0o600)).To(Succeed())
		}
		Expect(os.WriteFile(filepath.Join(dir, "ca.crt"), ca.Certificate, 0o600)).To(Succeed())
		parse := func(cert, key, authority string) (*settings.Daemon, error) {
			return settings.Parse(append([]string{"--peer-cert-file", filepath.Join(dir, cert),
				"--peer-key-file", filepath.Join(dir, key), "--peer-ca-file", filepath.Join(dir, authority)}, requiredArgs...))
		}
		d, err := parse("good.crt", "good.key", "ca.crt")
		Expect(err).NotTo(HaveOccurred())
		Expect(d.PeerIdentity.Certificate.Leaf.DNSNames).To(ConsistOf("entry-1"))
		for _, invalid := range [][]string{
			{"other-ca.crt", "other-ca.key", "ca.crt", "--peer-cert-file", "unknown authority"},
			{"expired.crt", "expired.key", "ca.crt", "--peer-cert-file", "expired"},
			{"other-vm.crt", "other-vm.key", "ca.crt", "--peer-cert-file", `must name this VM, "entry-1"`},
			{"good.crt", "other-vm.key", "ca.crt", "--peer-cert-file", "matches --peer-key-file"},
			{"good.crt", "good.key", "good.key", "--peer-ca-file", "PEM certificates"},
			{"good.crt", "none", "ca.crt", "--peer-key-file", "a file that the daemon can read"},
		} {
			_, err := parse(invalid[0], invalid[1], invalid[2])
			Expect(err).To(MatchError(And(ContainSubstring("1 invalid"), ContainSubstring(invalid[3]), ContainSubstring(invalid[4]))))
		}
		_, err = settings.Parse(append([]string{"--peer-cert-file", filepath.Join(dir, "good.crt")}, requiredArgs...))
		Expect(err).To(MatchError(And(ContainSubstring("2 invalid"), ContainSubstring("--peer-key-file"), ContainSubstring("--peer-ca-file"))))
	})

	It("reports an unreadable secret file along with the other invalid settings", func() {
		_, err := settings.Parse(append([]string{"--admin-token-file", filepath.Join(dir, "none"), "--policy=x"}, requiredArgs...))
		Expect(err).To(MatchError(And(ContainSubstring("2 invalid"), ContainSubstring("--admin-token-file"), ContainSubstring("--policy"))))
	})
})

// writeCertificate writes a self-signed certificate to NAME.crt and its key to NAME.key.
func writeCertificate(name string) {
	GinkgoHelper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{SerialNumber: big.NewInt(1), DNSNames: []string{"localhost"}}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	Expect(err).NotTo(HaveOccurred())
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	for file, block := range map[string]*pem.Block{".crt": {Type: "CERTIFICATE", Bytes: cert}, ".key": {Type: "PRIVATE KEY", Bytes: raw}} {
		Expect(os.WriteFile(name+file, pem.EncodeToMemory(block), 0o600)).To(Succeed())
	}
}
