package poison

import (
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestPoison(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Poison")
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// expectGolden compares with a file, which UPDATE_GOLDEN=1 writes anew.
func expectGolden(file, got string) {
	GinkgoHelper()
	path := "testdata/" + file
	if os.Getenv("UPDATE_GOLDEN") == "1" {
		Expect(os.MkdirAll("testdata", 0o755)).To(Succeed())
		Expect(os.WriteFile(path, []byte(got), 0o644)).To(Succeed())
	}
	want, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	Expect(got).To(Equal(string(want)))
}
