package appliance

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"cairnlane/internal/clock"
	"cairnlane/internal/config"
	"cairnlane/internal/counters"
	"cairnlane/internal/daemon"
	"cairnlane/internal/front"
	"cairnlane/internal/state/records"
)

// recorder is the flight recorder of a box. It is off unless the configuration enables it. It samples existing counters
// once per flush interval, four times a second, so it adds no cost to a request. It implements daemon.Component.
type recorder struct {
	cfg    *config.Appliance
	log    zerolog.Logger
	rec    *records.Recorder
	cancel context.CancelFunc
	done   chan struct{}

	mu       sync.Mutex
	replica  *daemon.Replica
	lastSums map[string]records.Tally // counters of each class at the last tally
}

const gaugesPerTally = 4 // number of gauges per tally

// Start implements daemon.Component.
func (r *recorder) Start(ctx context.Context, _ *front.Server, _ *counters.Set) error {
	dir := filepath.Join(r.cfg.State, "records")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("recorder: %w", err)
	}
	var id [6]byte
	if _, err := rand.Read(id[:]); err != nil {
		return fmt.Errorf("recorder: %w", err)
	}
	now := func() time.Duration { return time.Duration(clock.Wall().UnixNano()) }
	var err error
	if r.rec, err = records.NewRecorder(records.Disk{}, dir, records.Head{Box: r.cfg.Site.Name, Incarnation: hex.EncodeToString(id[:]), Build: BuildVersion(), Started: now()}, records.DefaultLimits, now); err != nil {
		return err
	}
	r.lastSums = map[string]records.Tally{}
	ctx, r.cancel = context.WithCancel(ctx)
	r.done = make(chan struct{})
	go r.run(ctx)
	return nil
}

// started reports that the replica accepts clients from now on.
func (r *recorder) started(replica *daemon.Replica) {
	r.mu.Lock()
	r.replica = replica
	r.mu.Unlock()
	r.rec.Add(records.Record{Kind: records.KindStart})
}

func (r *recorder) run(ctx context.Context) {
	defer close(r.done)
	tick := time.NewTicker(records.DefaultLimits.FlushInterval)
	defer tick.Stop()
	failed := false
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		r.sample(n%gaugesPerTally == 0)
		if err := r.rec.Flush(); err != nil != failed {
			failed = err != nil
			r.log.Warn().Err(err).Bool("failed", failed).Msg("recorder: the result of writing records changed; records that cannot be written are dropped and counted as lost")
		}
	}
}

// sample adds a gauge and, if tally is set, the changes of the class counters since the last tally.
func (r *recorder) sample(tally bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.replica == nil {
		return
	}
	f := r.replica.Operator().Figures()
	r.rec.Add(records.Record{Kind: records.KindGauge, Gauge: &records.Gauge{Held: uint16(min(max(f.Open, 0), 1<<16-1))}})
	if !tally {
		return
	}
	var list []records.Tally
	for _, c := range f.Classes {
		was := r.lastSums[c.Name]
		now := records.Tally{Class: c.Name, InAim: uint32(c.Served - c.Late), Over: uint32(c.Late), Early: uint32(c.Rejected), Failed: uint32(c.Failed),
			Share: uint32(c.RejectedOverShare), Low: uint32(c.RejectedLowClass), Beyond: uint32(c.RejectedOverBudget)} // total counts; their differences are right even after they wrap
		r.lastSums[c.Name] = now
		t := records.Tally{Class: c.Name, InAim: now.InAim - was.InAim, Over: now.Over - was.Over, Early: now.Early - was.Early, Failed: now.Failed - was.Failed,
			Share: now.Share - was.Share, Low: now.Low - was.Low, Beyond: now.Beyond - was.Beyond}
		if t.Read = t.Answers(); t.Read > 0 {
			list = append(list, t)
		}
	}
	if len(list) > 0 {
		r.rec.Add(records.Record{Kind: records.KindTally, Tally: list})
	}
}

// StopIntake implements daemon.Component.
func (r *recorder) StopIntake() { r.rec.Add(records.Record{Kind: records.KindDrain}) }

// Close implements daemon.Component.
func (r *recorder) Close() {
	if r.rec == nil {
		return
	}
	r.cancel()
	<-r.done
	r.sample(true)
	r.rec.Add(records.Record{Kind: records.KindEnd})
	r.rec.Flush()
	r.rec.Close()
}
