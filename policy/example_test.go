package policy_test

import (
	"fmt"
	"time"

	"cairnlane/policy"
)

type printingHost struct{ policy.Host }

func (printingHost) Run(id policy.RequestID) { fmt.Println("run", id) }
func (printingHost) Health(bool)             {}
func (printingHost) Wake(time.Duration)      {}

func ExampleController() {
	cfg := policy.Config{Seed: 7, Cores: 2, MemoryKB: 4096, RunMemoryFactor: 8, MaxRunsPerCore: 6,
		AnswerSlack: 100 * time.Millisecond,
		Classes:     []policy.Class{{Name: "read", Aim: time.Second, Deadline: 3 * time.Second, Worth: 1}}}
	ctl, err := policy.New(0, cfg, printingHost{})
	if err != nil {
		fmt.Println(err)
		return
	}
	ctl.Arrive(0, policy.Request{ID: 1, KB: 20})
	ctl.Done(80*time.Millisecond, 1, policy.Succeeded, 80*time.Millisecond)
	// Output: run 1
}
