// Package golden compares what a test got with a recorded file. Only tests use it.
package golden

import (
	"os"
	"path/filepath"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// Expect compares with a file under testdata, which UPDATE_GOLDEN=1 writes anew.
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
