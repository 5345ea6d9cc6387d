package main

import (
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("dogwoodflowctl keys", func() {
	// An operator runs the command a second time. It must not overwrite the fleet's keys: a lost
	// authority would mean new certificates on every VM.
	It("creates keys that only their owner can read, and never overwrites them", func() {
		dir := GinkgoT().TempDir()
		for _, args := range [][]string{{"ca"}, {"issue", "entry-1", "10.0.0.1"}} {
			args = append([]string{"keys", args[0], "--dir", dir}, args[1:]...)
			shown, code := runCtl(newFakeDaemon(), args...)
			Expect(code).To(Equal(exitOK), shown)
			shown, code = runCtl(newFakeDaemon(), args...)
			Expect(code).To(Equal(exitFailed), shown)
			Expect(shown).To(ContainSubstring("file exists"))
		}
		for _, name := range []string{"ca.pem", "ca.key", "entry-1.pem", "entry-1.key"} {
			info, err := os.Stat(filepath.Join(dir, name))
			Expect(err).NotTo(HaveOccurred())
			Expect(info.Mode().Perm()).To(BeEquivalentTo(0o600), name)
		}
	})

	It("removes the key if the certificate can't be written", func() {
		dir := GinkgoT().TempDir()
		Expect(os.WriteFile(filepath.Join(dir, "ca.pem"), nil, 0o600)).To(Succeed())
		_, code := runCtl(newFakeDaemon(), "keys", "ca", "--dir", dir)
		Expect(code).To(Equal(exitFailed))
		Expect(filepath.Join(dir, "ca.key")).NotTo(BeAnExistingFile())
	})

	DescribeTable("prints the expected output", func(name string, code int, args ...string) {
		shown, got := runCtl(newFakeDaemon(), args...)
		expectGolden(name, shown)
		Expect(got).To(Equal(code))
	},
		Entry(nil, "keys-hash", 0, "keys", "hash"),
		Entry(nil, "keys-no-name", 2, "keys", "issue"),
		Entry(nil, "keys-path", 2, "keys", "issue", "../entry-1"),
		Entry(nil, "keys-authority", 2, "keys", "issue", "ca"),
	)
})
