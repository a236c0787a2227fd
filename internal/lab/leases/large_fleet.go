package leases

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"time"

	"cairnlane/internal/decide/lease"
	"cairnlane/internal/fleet"
	"cairnlane/internal/lab/rig"
)

// LargeFleetFigures are the figures of a fleet of many processes on one machine.
type LargeFleetFigures struct {
	Processes                 int
	AllJoined                 time.Duration
	MessagesBox, BytesBox     float64 // sent a second, on average per box
	MessagesVoter, BytesVoter float64 // sent a second, by the busiest voter
	Renewals                  float64 // a second
	MemoryMedian, MemoryMax   int64   // resident memory in KB
	AgreeAfterLoss            time.Duration
	SessionsLost              int
}

// MeasureLargeFleet starts a fleet of many boxes that request no leases, measures its messages over a span, kills the leader and measures how
// soon a box is granted a lease after that.
func MeasureLargeFleet(cfg Config, span time.Duration) (*LargeFleetFigures, error) {
	if cfg.Progress == nil {
		cfg.Progress = io.Discard
	}
	site, err := rig.NewSite(rig.SiteConfig{Seed: 1, Dir: cfg.Dir, Boxes: cfg.Boxes, Voters: []int{0, 1, 2}, Terms: cfg.Terms, Election: cfg.Election, SettingsFile: cfg.SettingsFile, Command: cfg.Command, VotersOnlyPeers: true})
	if err != nil {
		return nil, err
	}
	defer site.Close()
	f := &LargeFleetFigures{Processes: cfg.Boxes}
	began := time.Now()
	if err := site.Start(); err != nil {
		return nil, err
	}
	f.AllJoined = time.Since(began)
	fmt.Fprintf(cfg.Progress, "%d boxes have joined the fleet after %v\n", cfg.Boxes, f.AllJoined.Round(time.Millisecond))
	time.Sleep(cfg.Terms.RenewInterval())
	type box struct {
		messages, bytes int64
		session         uint64
		commands        int64
	}
	read := func() (list []box, err error) {
		for _, b := range site.Boxes {
			s, err := b.Control().Status()
			if err != nil {
				return nil, err
			}
			st, err := b.Control().Fleet().Status()
			if err != nil {
				return nil, err
			}
			list = append(list, box{s.Counters["fleet_links_messages_out"], s.Counters["fleet_links_bytes_out"], st.Session, st.Counts.Commands})
		}
		return list, nil
	}
	firstAt := time.Now()
	first, err := read()
	if err != nil {
		return nil, err
	}
	time.Sleep(span)
	second, err := read()
	if err != nil {
		return nil, err
	}
	seconds := time.Since(firstAt).Seconds()
	for i := range first {
		m, b := float64(second[i].messages-first[i].messages)/seconds, float64(second[i].bytes-first[i].bytes)/seconds
		f.MessagesBox, f.BytesBox = f.MessagesBox+m/float64(cfg.Boxes), f.BytesBox+b/float64(cfg.Boxes)
		if i < 3 {
			f.MessagesVoter, f.BytesVoter = max(f.MessagesVoter, m), max(f.BytesVoter, b)
		}
		if second[i].session != first[i].session {
			f.SessionsLost++
		}
	}
	f.Renewals = float64(second[0].commands-first[0].commands) / seconds
	var sizes []int64
	for _, b := range site.Boxes {
		sizes = append(sizes, residentKB(b.Pid()))
	}
	slices.Sort(sizes)
	f.MemoryMedian, f.MemoryMax = sizes[len(sizes)/2], sizes[len(sizes)-1]
	leader := site.Leader()
	if leader == nil {
		return nil, errors.New("no box leads the fleet")
	}
	killedAt := time.Now()
	leader.Kill()
	last := site.Boxes[len(site.Boxes)-1].Control().Fleet()
	id, err := last.Begin(lease.Request{Task: "after the loss", Slots: 1})
	if err != nil {
		return nil, err
	}
	for time.Since(killedAt) < time.Minute {
		var s fleet.RunStatus
		if s, err = last.Poll(id, 100*time.Millisecond); err != nil || s.Left > 0 {
			break
		}
	}
	f.AgreeAfterLoss = time.Since(killedAt)
	return f, err
}

// residentKB returns a process's resident memory in KB, or 0 if it cannot be read.
func residentKB(pid int) int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := bytes.Cut(raw, []byte("VmRSS:"))
	if f := bytes.Fields(rest); len(f) > 0 {
		n, _ := strconv.ParseInt(string(f[0]), 10, 64)
		return n
	}
	return 0
}

func (f *LargeFleetFigures) String() string {
	return fmt.Sprintf("figures: processes=%d all_in_ms=%d messages_box=%.1f bytes_box=%.0f messages_voter=%.0f bytes_voter=%.0f renewals_s=%.1f memory_median_kb=%d memory_max_kb=%d agree_after_loss_ms=%d sessions_lost=%d",
		f.Processes, f.AllJoined.Milliseconds(), f.MessagesBox, f.BytesBox, f.MessagesVoter, f.BytesVoter, f.Renewals, f.MemoryMedian, f.MemoryMax, f.AgreeAfterLoss.Milliseconds(), f.SessionsLost)
}
