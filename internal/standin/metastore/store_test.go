package metastore

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/store"
)

// Guards against partitions that stay without an owner because the owners were listed after one of them had timed out.
func TestPartitionsOfAnExpiredMemberMoveAfterOwnersWereListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := New(2)
		s.join("g", "a", time.Second, 0, time.Now())
		s.join("g", "b", 10*time.Second, 0, time.Now())
		s.join("g", "a", time.Second, 2, time.Now())
		g.Expect(s.owners("g")).To(Equal([]store.PartitionOwner{{Partition: 0, Member: "a"}, {Partition: 1, Member: "b"}}))
		time.Sleep(2 * time.Second)
		g.Expect(s.owners("g")).To(Equal([]store.PartitionOwner{{Partition: 1, Member: "b"}}))
		g.Expect(s.join("g", "b", 10*time.Second, 2, time.Now()).Partitions).To(Equal([]int{0, 1}))
	})
}
