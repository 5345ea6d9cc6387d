package main

import (
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("dogwoodflowctl keys", func() {
	// An operator runs the command a second time. The fleet's keys must survive:
	// an authority that is gone means new certificates on every VM.
	It("makes a fleet's keys, readable by their owner only, and overwrites none", func() {
		dir := GinkgoT().TempDir()
		for _, args := range [][]string{{"ca"}, {"issue", "entry-1", "10.0.0.1"}} {
			args = append([]string{"keys", args[0], "--dir", dir}, args[1:]...)
			shown, code := ctl(newDaemon(), args...)
			Expect(code).To(Equal(exitOK), shown)
			shown, code = ctl(newDaemon(), args...)
			Expect(code).To(Equal(exitFailed), shown)
			Expect(shown).To(ContainSubstring("file exists"))
		}
		for _, name := range []string{"ca.pem", "ca.key", "entry-1.pem", "entry-1.key"} {
			info, err := os.Stat(filepath.Join(dir, name))
			Expect(err).NotTo(HaveOccurred())
			Expect(info.Mode().Perm()).To(BeEquivalentTo(0o600), name)
		}
	})

	It("leaves no key behind without its certificate", func() {
		dir := GinkgoT().TempDir()
		Expect(os.WriteFile(filepath.Join(dir, "ca.pem"), nil, 0o600)).To(Succeed())
		_, code := ctl(newDaemon(), "keys", "ca", "--dir", dir)
		Expect(code).To(Equal(exitFailed))
		Expect(filepath.Join(dir, "ca.key")).NotTo(BeAnExistingFile())
	})

	DescribeTable("prints", func(name string, code int, args ...string) {
		shown, got := ctl(newDaemon(), args...)
		expectGolden(name, shown)
		Expect(got).To(Equal(code))
	},
		Entry(nil, "keys-hash", 0, "keys", "hash"),
		Entry(nil, "keys-no-name", 2, "keys", "issue"),
		Entry(nil, "keys-path", 2, "keys", "issue", "../entry-1"),
		Entry(nil, "keys-authority", 2, "keys", "issue", "ca"),
	)
})
