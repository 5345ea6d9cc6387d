package settings_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/settings"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

var good = []string{
	"--vm=entry-1", "--data-centre=semarang", "--log-url=http://127.0.0.1:9000",
	"--weights-url=http://127.0.0.1:9001", "--vm-list-url=http://127.0.0.1:9002",
}

var _ = Describe("daemon settings", func() {
	BeforeEach(func() {
		GinkgoT().Setenv("DOGWOODFLOW_ADMIN_TOKEN", "admin-secret-0123456789")
		GinkgoT().Setenv("DOGWOODFLOW_PEER_TOKEN", "peer-secret-0123456789")
	})

	It("takes environment variables where no flag is given", func() {
		GinkgoT().Setenv("DOGWOODFLOW_PEER_SEEDS", "127.0.0.1:1, 127.0.0.1:2")
		d, err := settings.Parse(good)
		Expect(err).NotTo(HaveOccurred())
		Expect(d.PeerSeeds).To(Equal([]string{"127.0.0.1:1", "127.0.0.1:2"}))
		Expect(d.PeerAdvertise).To(Equal(d.PeerAddress))
	})

	It("names every bad setting at once, with its value and what is allowed", func() {
		_, err := settings.Parse([]string{"--vm=Bad Name", "--policy=x", "--caller-address=host:1", "--admin-address=127.0.0.1:8083"})
		var invalid *settings.InvalidError
		Expect(err).To(BeAssignableToTypeOf(invalid))
		Expect(err.Error()).To(And(
			ContainSubstring(`--vm: "Bad Name": must be`), ContainSubstring("--data-centre"),
			ContainSubstring(`--policy: "x": must be one of ours, naive`), ContainSubstring(`--caller-address: "host:1"`),
			ContainSubstring("--log-url"), ContainSubstring("is already taken by --admin-address")))
	})

	It("never prints a secret", func() {
		d, err := settings.Parse(good)
		Expect(err).NotTo(HaveOccurred())
		Expect(fmt.Sprintf("%v %+v %#v", d.AdminToken, d, d)).NotTo(ContainSubstring("0123456789"))
	})

	It("refuses a short secret without showing it", func() {
		GinkgoT().Setenv("DOGWOODFLOW_PEER_TOKEN", "hunter2")
		_, err := settings.Parse(good)
		Expect(err).To(MatchError(ContainSubstring("--peer-token-file")))
		Expect(err.Error()).NotTo(ContainSubstring("hunter2"))
	})
})
