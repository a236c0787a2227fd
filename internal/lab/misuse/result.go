package misuse

import (
	"fmt"
	"strings"

	"cairnlane/internal/lab/rig"
)

// Result is the result of one scenario.
type Result struct {
	Scenario       string
	IdleKB, MostKB int   // anonymous memory before the clients began, and at the most
	LimitKB        int   // memory_mb
	Written        int64 // bytes that the clients wrote
	Read           int64 // bytes that the process read from its connections
	Usual          rig.Tally
	RunsAfterLeave int    // runs that began later than leaveSlack after their client had left
	DoubleRuns     int    // keyed requests that ran more than once
	Ended          bool   // the process ended by itself
	Closed         string // reasons for which the processes closed connections, with their numbers
	Notes          string
}

// FailedBounds returns the bounds that were not met.
func (r *Result) FailedBounds() (list []string) {
	if r.Ended {
		list = append(list, r.Scenario+": the process ended")
	}
	if r.MostKB > r.LimitKB {
		list = append(list, fmt.Sprintf("%s: %d KB of memory, the limit is %d", r.Scenario, r.MostKB, r.LimitKB))
	}
	if unanswered := r.Usual.Lost + r.Usual.Late; unanswered*1000 > lostPerMille*r.Usual.Requests {
		list = append(list, fmt.Sprintf("%s: %d of %d usual requests had no answer in their time", r.Scenario, unanswered, r.Usual.Requests))
	}
	if r.DoubleRuns > 0 {
		list = append(list, fmt.Sprintf("%s: %d keyed requests ran twice", r.Scenario, r.DoubleRuns))
	}
	if r.RunsAfterLeave > 0 {
		list = append(list, fmt.Sprintf("%s: %d runs began after their client had left", r.Scenario, r.RunsAfterLeave))
	}
	return list
}

// String returns the result as one line.
func (r *Result) String() string {
	return fmt.Sprintf("%-20s memory_kb=%d..%d of %d written_mb=%.1f read_mb=%.1f usual=%d served=%d refused=%d failed=%d lost=%d late=%d not_accepted=%d runs_after_leave=%d double_runs=%d closed=[%s]%s",
		r.Scenario, r.IdleKB, r.MostKB, r.LimitKB, float64(r.Written)/bytesPerMB, float64(r.Read)/bytesPerMB, r.Usual.Requests, r.Usual.Served, r.Usual.Rejected, r.Usual.Failed, r.Usual.Lost,
		r.Usual.Late, r.Usual.ConnectionRefused, r.RunsAfterLeave, r.DoubleRuns, strings.TrimSpace(r.Closed), r.Notes)
}
