package peer

import (
	"reflect"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/peer/peerpb"
	"github.com/dogwoodflow/dogwoodflow/internal/poison"
)

// encodeMark gives times in whole milliseconds; a mark lives for minutes.
func encodeMark(m poison.Mark) *peerpb.PoisonMark {
	out := &peerpb.PoisonMark{
		Fingerprint: uint64(m.Fingerprint),
		Expires:     toMillis(m.Expires),
		Trying:      string(m.TrialVM),
		TryingOn:    string(m.TrialUpstream),
		TryingUntil: toMillis(m.TrialExpires),
	}
	for _, d := range m.Deaths {
		out.Deaths = append(out.Deaths, &peerpb.Death{
			Upstream: string(d.Upstream), BootId: d.BootID, Forgiven: d.Cleared, Tokens: uint32(d.Tokens),
		})
	}
	return out
}

func decodeMark(m *peerpb.PoisonMark) poison.Mark {
	out := poison.Mark{
		Fingerprint:   poison.Fingerprint(m.GetFingerprint()),
		Expires:       fromMillis(m.GetExpires()),
		TrialVM:       ident.VM(m.GetTrying()),
		TrialUpstream: ident.Upstream(m.GetTryingOn()),
		TrialExpires:  fromMillis(m.GetTryingUntil()),
	}
	for _, d := range m.GetDeaths() {
		out.Deaths = append(out.Deaths, poison.Death{
			Upstream: ident.Upstream(d.GetUpstream()), BootID: d.GetBootId(), Cleared: d.GetForgiven(),
			Tokens: int(d.GetTokens()),
		})
	}
	return out
}

func sameMark(a, b poison.Mark) bool { return reflect.DeepEqual(a, b) }

func toMillis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func fromMillis(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms).UTC()
}
