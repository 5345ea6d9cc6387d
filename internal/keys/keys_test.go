package keys_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/keys"
)

func TestHash(t *testing.T) {
	g := NewWithT(t)
	// The value is that of `printf my-caller-key | sha256sum`.
	const want = "1329b75e367ca075c34ba47c3bb072bc0d33d2f557873a4b235a82a11c6a1146"
	plain, err := keys.Hash([]byte("my-caller-key"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(plain).To(Equal(want))
	line, _ := keys.Hash([]byte("my-caller-key\r\n"))
	g.Expect(line).To(Equal(plain))
	_, err = keys.Hash([]byte("\n"))
	g.Expect(err).To(MatchError(keys.ErrEmptySecret))
}

func TestIssueRefuses(t *testing.T) {
	g := NewWithT(t)
	v := keys.Validity{IssuedAt: time.Unix(1e9, 0), Duration: time.Hour}
	ca, err := keys.NewAuthority("fleet", v)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = keys.Issue(ca, nil, v)
	g.Expect(err).To(MatchError(keys.ErrMissingName))
	vm, err := keys.Issue(ca, []string{"entry-1", "10.0.0.1"}, v)
	g.Expect(err).NotTo(HaveOccurred())
	// A VM's certificate can't issue other certificates.
	_, err = keys.Issue(vm, []string{"entry-2"}, v)
	g.Expect(err).To(MatchError(keys.ErrInvalidAuthority))
	_, err = keys.Issue(keys.KeyPair{Certificate: ca.Certificate, Key: vm.Key}, []string{"entry-2"}, v)
	g.Expect(err).To(MatchError(keys.ErrInvalidAuthority))
}
