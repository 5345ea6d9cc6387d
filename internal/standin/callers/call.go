package callers

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"

	"github.com/dogwoodflow/dogwoodflow/internal/standin/answer"
	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

// Kind sorts calls.
type Kind string

// The kinds of call.
const (
	Completion Kind = "completion"
	Streamed   Kind = "streamed"
	Booking    Kind = "service"            // may not be repeated
	Keyed      Kind = "service_keyed"      // with an Idempotency-Key
	Lookup     Kind = "service_idempotent" // may be repeated
)

// call is one call, all of its attempts.
type call struct {
	id        string
	kind      Kind
	path      string
	body      []byte
	chat      bool
	prompt    string
	maxTokens int
	twin      bool // each attempt is made twice at the same moment
}

// streams says whether the answer comes as events.
func (c *call) streams() bool { return c.kind == Streamed }

// generates says whether the call is a completion.
func (c *call) generates() bool { return c.kind == Completion || c.kind == Streamed }

// repeatable says whether the caller may send it again after any failure.
func (c *call) repeatable() bool { return c.kind != Booking }

// newCall draws a call. Called from one goroutine, so that a seed gives the same calls.
func (o Options) newCall(random *rand.Rand, number int) *call {
	c := &call{id: fmt.Sprintf("call-%d-%d", o.Seed, number)}
	if random.Float64() < o.CompletionShare {
		o.drawCompletion(random, c)
		return c
	}
	o.drawService(random, c)
	return c
}

func (o Options) drawCompletion(random *rand.Rand, c *call) {
	c.kind = Completion
	if random.Float64() < o.StreamShare {
		c.kind = Streamed
	}
	c.chat = random.Float64() < o.ChatShare
	c.maxTokens = o.MinTokens + random.IntN(o.MaxTokens-o.MinTokens+1)
	const templates = 16
	template := fmt.Sprintf("%-*s", wire.PrefixBytes, fmt.Sprintf("callers, template %d:", random.IntN(templates)))
	request := wire.GenerateRequest{
		Model:     o.Model,
		Prompt:    template + " " + c.id,
		MaxTokens: c.maxTokens,
		Seed:      random.Int64(),
		Stream:    c.streams(),
	}
	c.path = "/v1/completions"
	c.prompt = request.Prompt
	if c.chat {
		c.path = "/v1/chat/completions"
		request.Messages = []wire.Message{{Role: "user", Content: request.Prompt}}
		request.Prompt = ""
		c.prompt = answer.ChatPrompt(request.Messages)
	}
	c.body = mustJSON(request)
}

func (o Options) drawService(random *rand.Rand, c *call) {
	c.kind, c.path = Booking, o.ServicePath
	lookup := o.IdempotentPath != "" && (o.ServicePath == "" || random.IntN(2) == 0)
	switch {
	case lookup:
		c.kind, c.path = Lookup, o.IdempotentPath
	case random.Float64() < o.KeyedShare:
		c.kind = Keyed
		c.twin = o.TwinShare > 0 && random.Float64() < o.TwinShare
	}
	filler := make([]byte, o.BodyBytes)
	for i := range filler {
		filler[i] = byte(random.Uint32())
	}
	c.body = bytes.Join([][]byte{[]byte(c.id), filler}, []byte(" "))
}

// mustJSON encodes a type of wire, which can't fail.
func mustJSON(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return raw
}
