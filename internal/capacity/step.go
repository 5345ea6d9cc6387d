package capacity

import (
	"context"
	"fmt"
	"time"

	"github.com/RoaringBitmap/roaring/v2"

	"github.com/dogwoodflow/dogwoodflow/internal/rollout"
	"github.com/dogwoodflow/dogwoodflow/internal/rollouts"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/balance"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/trainer"
)

// stepTimeout bounds one step.
const stepTimeout = 90 * time.Second

// runStep submits a step of so many samples and pulls it whole.
func (w *World) runStep(ctx context.Context, number, samples int) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	client := trainer.NewClient(balance.New([]string{w.options.url(portTrainer)}), secretKey)
	prompts := make([]rollout.Prompt, samples/samplesPerGroup)
	for i := range prompts {
		prompts[i] = rollout.Prompt{Text: fmt.Sprintf("prompt %d of step %d", i, number), ExpectedTokens: sampleTokens}
	}
	if _, err := client.Submit(ctx, job, number, rollouts.SubmitRequest{Prompts: prompts, TrainerVersion: 1}); err != nil {
		return fmt.Errorf("capacity: submit: %w", err)
	}
	have := roaring.New()
	for ctx.Err() == nil {
		cursor, err := rollouts.EncodeHave(have)
		if err != nil {
			return err
		}
		response, err := client.Pull(ctx, job, number, rollouts.PullRequest{Have: cursor, TrainerVersion: 1, WaitMillis: 1000})
		if err != nil {
			return fmt.Errorf("capacity: pull: %w", err)
		}
		for _, g := range response.Groups {
			have.Add(uint32(g.Number))
		}
		if response.Whole {
			return nil
		}
	}
	return ctx.Err()
}
