package trainer_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/gorilla/mux"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/rollout"
	"github.com/dogwoodflow/dogwoodflow/internal/rollouts"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/answer"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/fault"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/host"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/trainer"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/weights"
)

func TestTrainer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "trainer")
}

// daemon plays the trainer's API: each pull gets all groups at once, made by
// the newest version, after spoil had its way with the answer.
type daemon struct {
	steps map[string]rollouts.SubmitRequest
	pulls int
	spoil func(pull int, answer *rollouts.PullResponse)
}

const groupSize = 2

func (d *daemon) routes() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/readyz", func(http.ResponseWriter, *http.Request) {})
	r.HandleFunc("/v1/jobs/{job}/steps/{step}", d.submit).Methods(http.MethodPut)
	r.HandleFunc("/v1/jobs/{job}/steps/{step}/pull", d.pull).Methods(http.MethodPost)
	return r
}

func (d *daemon) submit(w http.ResponseWriter, r *http.Request) {
	var request rollouts.SubmitRequest
	if host.ReadJSON(w, r, &request) {
		d.steps[mux.Vars(r)["step"]] = request
		host.WriteJSON(w, http.StatusCreated, rollouts.SubmitResponse{GroupSize: groupSize})
	}
}

func (d *daemon) pull(w http.ResponseWriter, r *http.Request) {
	step, known := d.steps[mux.Vars(r)["step"]]
	if !known {
		host.WriteError(w, http.StatusNotFound, http.ErrNoLocation)
		return
	}
	var request rollouts.PullRequest
	if !host.ReadJSON(w, r, &request) {
		return
	}
	have, err := rollouts.DecodeCursor(request.Have)
	Expect(err).NotTo(HaveOccurred())
	response := rollouts.PullResponse{JudgedBy: request.TrainerVersion, End: true}
	for i, prompt := range step.Prompts {
		full := request.MaxGroups > 0 && len(response.Groups) == request.MaxGroups
		if !have.ContainsInt(i) && !full {
			response.Groups = append(response.Groups, makeGroup(i, prompt.Text, request.TrainerVersion))
		}
	}
	d.pulls++
	if d.spoil != nil {
		d.spoil(d.pulls, &response)
	}
	host.WriteJSON(w, http.StatusOK, response)
}

func makeGroup(number int, prompt string, version ident.Version) rollout.Group {
	group := rollout.Group{Number: number}
	for i := range groupSize {
		n := answer.CompletionLength(prompt, 1000)
		text := answer.Text(prompt, int64(i), n, int64(version))
		group.Samples = append(group.Samples, rollout.Sample{
			Group: number, Index: i, Prompt: prompt, Completion: text,
			Reward:   answer.Reward(prompt, text),
			Segments: []rollout.Segment{{Version: version, To: n}},
		})
	}
	return group
}

var _ = Describe("a trainer", func() {
	var (
		d       *daemon
		options trainer.Options
	)

	start := func(handler http.Handler) string {
		server, err := host.Start("127.0.0.1:0", handler, fault.New())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		return server.URL
	}

	BeforeEach(func() {
		d = &daemon{steps: map[string]rollouts.SubmitRequest{}}
		store := weights.New(weights.Options{Models: map[string][]int64{"drafts": {3, 4}}})
		options = trainer.Options{
			Daemons: []string{start(d.routes())}, Job: "j", Steps: 3, Prompts: 5,
			Lengths: trainer.Lengths{Min: 4, Max: 9, Tail: 50, TailShare: 0.2},
			Bound:   1, Model: "drafts", PublishTo: start(store),
		}
	})

	run := func() trainer.Summary {
		summary, err := trainer.New(options).Run(context.Background())
		Expect(err).NotTo(HaveOccurred())
		return summary
	}

	It("takes whole steps and publishes a version between them", func() {
		summary := run()
		Expect(summary.OK()).To(BeTrue(), "%v", summary.Faults)
		Expect(summary.Steps).To(Equal(3))
		Expect(summary.Samples).To(Equal(30))
		Expect(summary.Versions).To(And(HaveLen(3), HaveKey(int64(4)), HaveKey(int64(6))))
		Expect(summary.StalenessMax).To(BeZero())
	})

	It("drops an answer that is cut, and one judged by an older version", func() {
		d.spoil = func(pull int, response *rollouts.PullResponse) {
			switch pull {
			case 1:
				response.End = false
			case 2:
				response.JudgedBy--
			}
		}
		summary := run()
		Expect(summary.OK()).To(BeTrue(), "%v", summary.Faults)
		Expect([]int{summary.Cut, summary.JudgedOld, summary.Samples}).To(Equal([]int{1, 1, 30}))
	})

	It("submits a step again that its owner has lost", func() {
		d.spoil = func(pull int, response *rollouts.PullResponse) {
			if pull == 1 {
				response.Groups = response.Groups[:2]
				clear(d.steps)
			}
		}
		summary := run()
		Expect(summary.OK()).To(BeTrue(), "%v", summary.Faults)
		Expect([]int{summary.Resubmits, summary.Samples}).To(Equal([]int{1, 30}))
	})

	// Daemons that haven't met each take the job for theirs. A trainer that goes
	// round them is told by each in turn that it doesn't know the step.
	It("stays with the daemon that took its step", func() {
		other := &daemon{steps: map[string]rollouts.SubmitRequest{}}
		options.Daemons = append(options.Daemons, start(other.routes()))
		options.MaxGroups = 1
		summary := run()
		Expect(summary.OK()).To(BeTrue(), "%v", summary.Faults)
		Expect([]int{summary.Resubmits, summary.Samples, summary.Pulls}).To(Equal([]int{0, 30, 15}))
	})

	It("cuts its connection in the middle of answers, and loses nothing by it", func() {
		options.CutAnswers = 4
		summary := run()
		Expect(summary.OK()).To(BeTrue(), "%v", summary.Faults)
		Expect([]int{summary.Cut, summary.Samples, d.pulls}).To(Equal([]int{4, 30, 7}))
	})

	DescribeTable("starts anew in mid-step",
		func(keep bool, forgotten int) {
			options.Restarts, options.KeepCursor, options.MaxGroups = 2, keep, 1
			summary := run()
			Expect(summary.OK()).To(BeTrue(), "%v", summary.Faults)
			Expect([]int{summary.Restarts, summary.Samples, summary.Forgotten}).To(Equal([]int{2, 30, forgotten}))
		},
		Entry("with its cursor", true, 0),
		Entry("without, and takes everything again", false, 8),
	)

	spoilFirst := func(change func(*rollouts.PullResponse)) func(int, *rollouts.PullResponse) {
		return func(pull int, response *rollouts.PullResponse) {
			if pull == 1 {
				change(response)
			}
		}
	}

	DescribeTable("notices",
		func(change func(*rollouts.PullResponse), want trainer.Summary) {
			d.spoil = spoilFirst(change)
			got := run()
			Expect(got.OK()).To(BeFalse())
			Expect([]int{got.Missing, got.Duplicates, got.Stale, got.Mislabelled, got.Wrong, got.FailedGroups}).
				To(Equal([]int{want.Missing, want.Duplicates, want.Stale, want.Mislabelled, want.Wrong, want.FailedGroups}))
		},
		Entry("a missing sample", func(r *rollouts.PullResponse) {
			r.Groups[0].Samples = r.Groups[0].Samples[:1]
		}, trainer.Summary{Missing: 1}),
		Entry("a group that comes twice", func(r *rollouts.PullResponse) {
			r.Groups = append(r.Groups, r.Groups[0])
		}, trainer.Summary{Duplicates: groupSize}),
		Entry("a stale group", func(r *rollouts.PullResponse) {
			r.Groups[1] = makeGroup(1, r.Groups[1].Samples[0].Prompt, 2)
		}, trainer.Summary{Stale: groupSize}),
		Entry("a wrong label", func(r *rollouts.PullResponse) {
			r.Groups[1].Samples[0].Segments[0].Version++
		}, trainer.Summary{Mislabelled: 1}),
		Entry("another prompt's completion", func(r *rollouts.PullResponse) {
			r.Groups[1].Samples[0].Completion = r.Groups[0].Samples[0].Completion
		}, trainer.Summary{Wrong: 1}),
		Entry("a wrong reward", func(r *rollouts.PullResponse) {
			r.Groups[1].Samples[0].Reward += 0.5
		}, trainer.Summary{Wrong: 1}),
		Entry("a failed group", func(r *rollouts.PullResponse) {
			r.Groups[1] = rollout.Group{Number: 1, Failed: true, Reason: "poison"}
		}, trainer.Summary{FailedGroups: 1}),
	)
})
