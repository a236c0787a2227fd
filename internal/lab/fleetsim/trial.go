package fleetsim

import (
	"fmt"
	"io"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"cairnlane/internal/decide/lease"
	"cairnlane/internal/fleet/ledger"
)

// Figures sums up the results of many seeds.
type Figures struct {
	Seeds, Failed                                     int
	Effects, Takeovers, StaleRejected, Fenced, Faults int
	Messages                                          int64
	DigestsDiffer                                     int
	Rollouts                                          map[string]int // by final phase
	ShutOut, Readmitted, LowVersionRejected           int
	MaxAgreementTime                                  time.Duration
	ProcessorTime                                     time.Duration // processor time used, over all cores
	FirstFailure                                      *Result       // result of the failed seed with the lowest number
	FirstFailedSeed                                   uint64
}

// RunSeeds simulates seeds on a number of workers.
func RunSeeds(from uint64, seeds, workers int, progress io.Writer) *Figures {
	defer debug.SetGCPercent(debug.SetGCPercent(800)) // each simulation is small and short-lived, so memory for more garbage saves collections
	f := &Figures{Rollouts: map[string]int{}}
	before := processorTime()
	var mu sync.Mutex
	var running sync.WaitGroup
	next := from
	for range workers {
		running.Go(func() {
			for {
				mu.Lock()
				seed := next
				next++
				mu.Unlock()
				if seed >= from+uint64(seeds) {
					return
				}
				cfg := Default(seed)
				if seed%2 == 0 {
					cfg.RolloutInterval = 2 * time.Second
				}
				r := Run(cfg)
				mu.Lock()
				f.add(seed, r)
				if f.Seeds%500 == 0 {
					fmt.Fprintf(progress, "%d seeds, %d effects, %d failed\n", f.Seeds, f.Effects, f.Failed)
				}
				mu.Unlock()
			}
		})
	}
	running.Wait()
	f.ProcessorTime = processorTime() - before
	return f
}

// add adds the result of a seed.
func (f *Figures) add(seed uint64, r *Result) {
	f.Seeds++
	f.Effects, f.Takeovers, f.StaleRejected, f.Fenced = f.Effects+r.Effects, f.Takeovers+r.Takeovers, f.StaleRejected+r.StaleRejected, f.Fenced+r.Fenced
	f.Messages, f.DigestsDiffer = f.Messages+r.Messages, f.DigestsDiffer+r.DigestsDiffer
	f.MaxAgreementTime = max(f.MaxAgreementTime, r.AgreementTime)
	f.ShutOut, f.Readmitted, f.LowVersionRejected = f.ShutOut+r.ShutOut, f.Readmitted+r.Readmitted, f.LowVersionRejected+r.LowVersionRejected
	for how, n := range r.Rollouts {
		f.Rollouts[how] += n
	}
	for _, n := range r.Faults {
		f.Faults += n
	}
	if len(r.Violations) > 0 {
		if f.Failed++; f.FirstFailure == nil || seed < f.FirstFailedSeed {
			f.FirstFailure, f.FirstFailedSeed = r, seed
		}
	}
}

// processorTime returns the processor time that this process has used so far.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// SeedsPerMinute returns how many seeds one core simulates in a minute.
func (f *Figures) SeedsPerMinute() float64 { return float64(f.Seeds) / f.ProcessorTime.Minutes() }

// MinSeedsPerMinute is the lower bound on SeedsPerMinute.
const MinSeedsPerMinute = 2000

// String returns the figures as one line.
func (f *Figures) String() string {
	return fmt.Sprintf("figures: seeds=%d failed=%d faults=%d acts=%d takeovers=%d stale_tried=%d fenced=%d digests_differ=%d messages=%d rollouts_done=%d rollouts_returned=%d rollouts_superseded=%d shut_out=%d back_in=%d below_refused=%d agreed_max_ms=%d seeds_per_minute_and_core=%.0f",
		f.Seeds, f.Failed, f.Faults, f.Effects, f.Takeovers, f.StaleRejected, f.Fenced, f.DigestsDiffer, f.Messages, f.Rollouts["done"], f.Rollouts["returned"], f.Rollouts["superseded"], f.ShutOut, f.Readmitted, f.LowVersionRejected, f.MaxAgreementTime.Milliseconds(), f.SeedsPerMinute())
}

// Missed lists the bounds that were missed.
func (f *Figures) Missed() (list []string) {
	if f.Failed > 0 {
		list = append(list, fmt.Sprintf("%d seeds failed, the first is %d: %v", f.Failed, f.FirstFailedSeed, f.FirstFailure.Violations))
	}
	if f.StaleRejected == 0 || f.Effects < 20*f.Seeds {
		list = append(list, "too few effects or stale attempts to check the leases")
	}
	if f.Seeds >= 500 && (f.Rollouts["done"] == 0 || f.Rollouts["returned"] == 0 || f.Rollouts["superseded"] == 0 || f.ShutOut == 0 || f.Readmitted == 0) {
		list = append(list, "not every rollout outcome occurred, or no box was shut out and brought back")
	}
	if f.SeedsPerMinute() < MinSeedsPerMinute {
		list = append(list, fmt.Sprintf("%.0f seeds per minute and core, want %d", f.SeedsPerMinute(), MinSeedsPerMinute))
	}
	return list
}

// ScaleFigures measures a large fleet without faults, and the loss of its leader.
type ScaleFigures struct {
	Members                         int
	MessagesPerBox, BytesPerBox     float64 // per second
	MessagesPerVoter, BytesPerVoter float64 // of the busiest voter, per second
	RenewalsPerSecond               float64
	MemoryPerBox                    int64 // bytes of heap per box
	StateBytes                      int
	JoinTime                        time.Duration // from the start until every box has a session
	FailoverTime                    time.Duration // from the loss of the leader until a box holds a new lease
	SessionsLost                    int           // sessions that ended without a fault
}

// MeasureScale simulates a fleet with a number of boxes and a lease term.
func MeasureScale(members int, term, span time.Duration) *ScaleFigures {
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cfg := Config{Seed: 1, Boxes: members, Voters: 5, Terms: lease.Terms{Term: term, Drift: 0.01}, Timing: ledger.DefaultTiming, Tasks: 1, MeanDelay: time.Millisecond}
	sim := New(cfg)
	sim.countBytes = true
	f := &ScaleFigures{Members: members}
	for f.JoinTime == 0 && sim.now < 5*time.Minute {
		sim.Advance(sim.now + 100*time.Millisecond)
		if len(sim.boxes[0].node.Ledger().State().Table.CurrentSessions) == members {
			f.JoinTime = sim.now
		}
	}
	sim.Advance(sim.now + 2*term)
	clear(sim.traffic)
	commands := sim.boxes[0].node.Counts().Commands
	sessions := map[string]uint64{}
	for name, id := range sim.boxes[0].node.Ledger().State().Table.CurrentSessions {
		sessions[name] = id
	}
	sim.Advance(sim.now + span)
	seconds := span.Seconds()
	for i := range sim.boxes {
		t := sim.traffic[i]
		f.MessagesPerBox += float64(t.messages) / seconds / float64(members)
		f.BytesPerBox += float64(t.bytes) / seconds / float64(members)
		if i < cfg.Voters {
			f.MessagesPerVoter, f.BytesPerVoter = max(f.MessagesPerVoter, float64(t.messages)/seconds), max(f.BytesPerVoter, float64(t.bytes)/seconds)
		}
	}
	state := sim.boxes[0].node.Ledger().State()
	f.RenewalsPerSecond = float64(sim.boxes[0].node.Counts().Commands-commands) / seconds
	f.StateBytes = len(state.Encode())
	for name, id := range sessions {
		if state.Table.CurrentSessions[name] != id {
			f.SessionsLost++
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	f.MemoryPerBox = int64(after.HeapAlloc-before.HeapAlloc) / int64(members)
	f.FailoverTime = sim.killLeader()
	return f
}

// killLeader kills the leader and returns the time until a box that is not a voter holds a lease, at most a minute.
func (sim *Simulation) killLeader() time.Duration {
	for i, b := range sim.boxes {
		if b.node.Ledger().Role() == "leader" {
			sim.kill(i)
		}
	}
	began := sim.now
	last := len(sim.boxes) - 1
	b := sim.boxes[last]
	var request *lease.TrackedRequest
	sim.run(last, b.incarnation, func() { request, _ = b.node.Acquire(b.clock(sim), lease.Request{Task: "after the loss", Slots: 1}) })
	for sim.now < began+time.Minute {
		sim.Advance(sim.now + 10*time.Millisecond)
		if request != nil && b.node.CheckEffect(b.clock(sim), request, 0) == nil {
			break
		}
	}
	return sim.now - began
}

// String returns the figures as one line.
func (f *ScaleFigures) String() string {
	return fmt.Sprintf("members=%d all_in_ms=%d messages_box=%.1f bytes_box=%.0f messages_voter=%.0f bytes_voter=%.0f renewals_s=%.0f memory_box_kb=%d state_kb=%d agree_after_loss_ms=%d sessions_lost=%d",
		f.Members, f.JoinTime.Milliseconds(), f.MessagesPerBox, f.BytesPerBox, f.MessagesPerVoter, f.BytesPerVoter, f.RenewalsPerSecond, f.MemoryPerBox>>10, f.StateBytes>>10, f.FailoverTime.Milliseconds(), f.SessionsLost)
}
