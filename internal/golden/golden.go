// Package golden compares the output of tests with golden files.
package golden

import (
	"os"
	"path/filepath"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// Expect fails the test if got differs from the content of a file in the directory testdata.
// With UPDATE_GOLDEN=1 in the environment it first writes got to the file.
func Expect(file, got string) {
	ginkgo.GinkgoHelper()
	path := filepath.Join("testdata", file)
	if os.Getenv("UPDATE_GOLDEN") == "1" {
		gomega.Expect(os.MkdirAll("testdata", 0o755)).To(gomega.Succeed())
		gomega.Expect(os.WriteFile(path, []byte(got), 0o644)).To(gomega.Succeed())
	}
	want, err := os.ReadFile(path)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(got).To(gomega.Equal(string(want)))
}
