package appliance

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"cairnlane/internal/clock"
	"cairnlane/internal/config"
	"cairnlane/internal/control"
	"cairnlane/internal/counters"
	"cairnlane/internal/daemon"
	"cairnlane/internal/decide/lease"
	"cairnlane/internal/decide/rollout"
	"cairnlane/internal/decide/shed"
	"cairnlane/internal/engine"
	"cairnlane/internal/faultfs"
	"cairnlane/internal/fleet"
	"cairnlane/internal/fleet/ledger"
	"cairnlane/internal/fleet/view"
	"cairnlane/internal/front"
	"cairnlane/internal/operator"
	"cairnlane/internal/state/audit"
	"cairnlane/internal/state/configs"
)

// Fleet is the box's part in its fleet. It implements daemon.Part and control.Fleet. Serving waits for none of it.
type Fleet struct {
	*fleet.Fleet
	cfg   *config.Appliance
	log   zerolog.Logger
	desk  *fleet.ProcessSupervisor
	stop  context.CancelFunc
	audit *audit.Log
	pacer *fleet.Pacer

	mu      sync.Mutex
	replica *daemon.Replica // once it serves
	entered uint64          // the slot at the desk under which the box is out of service
	gone    bool            // out of service, as it is shut out of the fleet
}

// MaintenanceTask is the task whose slots are boxes out of service.
const MaintenanceTask = "maintenance"

// Build names the program's version, as its build information has it.
func Build() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	name := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" && len(s.Value) >= 12 {
			name = s.Value[:12]
		}
		if s.Key == "vcs.modified" && s.Value == "true" {
			name += "+changed"
		}
	}
	if name == "" {
		return "unknown"
	}
	return name
}

// number is that of the build, which says what it understands: it is raised when the fleet's configuration gains something. A
// build may be made with another one: -ldflags "-X cairnlane/internal/appliance.number=3".
var number = "2"

// Number is the number of this build.
func Number() uint64 {
	n, err := strconv.ParseUint(number, 10, 32)
	if err != nil {
		return 1
	}
	return n
}

// checkNumbered reads a configuration of the fleet; n is 0 before it has a number.
func (f *Fleet) checkNumbered(n uint64, body []byte) (uint64, rollout.Rules, error) {
	name := "the configuration"
	if n > 0 {
		name = fmt.Sprintf("configuration %d", n)
	}
	c, err := config.ParseNumbered(name, body)
	if err != nil {
		return 0, rollout.Rules{}, err
	}
	if err := c.CheckTenants(f.cfg.Site.Tenants); err != nil {
		return 0, rollout.Rules{}, err
	}
	if n > 0 {
		if err := trialRefuses(f.cfg.Site.Name, c.Values); err != nil {
			return 0, rollout.Rules{}, fmt.Errorf("%s: %w", name, err)
		}
	}
	return c.Needs, c.Rules(), nil
}

// timing is how fast the box talks, from the time without a leader after which another one is elected.
func timing(c *config.Fleet) ledger.Timing {
	t := ledger.DefaultTiming
	if c.ElectionMS > 0 {
		t.Election = time.Duration(c.ElectionMS) * time.Millisecond
		t.Heartbeat, t.Poll = max(t.Election/10, 5*time.Millisecond), t.Election
	}
	return t
}

// Start implements daemon.Part.
func (f *Fleet) Start(ctx context.Context, _ *front.Server, set *counters.Set) (err error) {
	c := f.cfg.Fleet
	dir := filepath.Join(f.cfg.State, "audit")
	var how string
	if f.audit, how, err = audit.Open(dir, f.cfg.Site.Name, audit.DefaultLimits, func() time.Duration { return time.Duration(clock.Wall().UnixNano()) }); err != nil {
		return err
	}
	f.audit.Write(audit.Entry{Kind: audit.Start, Text: how})
	store, wrong, err := configs.Open(faultfs.Disk{}, filepath.Join(f.cfg.State, "fleet-config"))
	if err != nil {
		return err
	}
	if wrong != "" {
		f.log.Error().Str("wrong", wrong).Msg("configurations of the fleet are damaged; they are fetched anew")
	}
	served, refused, failed := set.Get("answers_served"), set.Get("answers_refused"), set.Get("answers_failed")
	f.pacer = fleet.NewPacer(f.cfg.Site.Name, clock.Boot, engine.DefaultBackoff)
	f.Fleet, err = fleet.Open(fleet.Config{Audit: f.audit, AuditBuild: f.acts(), BuildNumber: Number(), Configs: store, CheckConfig: f.checkNumbered,
		Load: f.totals, Overload: f.overload, OnAdvice: f.advise, Pacer: f.pacer, MaxRetryDelay: f.cfg.Site.Policy.MaxHoldOff,
		Served: func() (good, bad uint64) { return uint64(served.Load()), uint64(refused.Load() + failed.Load()) },
		Name:   f.cfg.Site.Name, Listen: c.Listen, Peers: c.Addresses(), KeyFile: c.KeyFile, Dir: filepath.Join(f.cfg.State, "fleet"),
		Build: Build(), Timing: timing(c), Now: clock.Boot, Logf: func(format string, args ...any) { f.log.Warn().Msg("fleet: " + fmt.Sprintf(format, args...)) }}, set)
	if err != nil {
		return err
	}
	f.desk = fleet.NewProcessSupervisor(f.Fleet, fleet.SystemProcessGroups{})
	f.log.Info().Str("listen", f.Addr()).Msg("peers of the fleet may call")
	ctx, f.stop = context.WithCancel(ctx)
	go f.giveBack(ctx)
	return nil
}

// Running is the fleet once the part has been started.
func (f *Fleet) Running() *fleet.Fleet { return f.Fleet }

// Leave implements daemon.Part. The fleet is left last: what is under way may still need its leases.
func (f *Fleet) Leave() {}

// Close implements daemon.Part.
func (f *Fleet) Close() {
	if f.Fleet == nil {
		return
	}
	f.stop()
	f.desk.Close()
	f.Fleet.Close()
	f.audit.Close()
}

// acts is the version that this box acts as: the program, its settings and limits, its own configuration, and what it
// understands of the fleet's messages.
func (f *Fleet) acts() audit.Build {
	digest := func(path string) string {
		raw, err := os.ReadFile(path)
		if err != nil {
			return "unreadable"
		}
		return fmt.Sprintf("%016x", xxhash.Sum64(raw))
	}
	return audit.Build{Number: Number(), Program: Build(), Settings: digest(f.cfg.Replica), Config: digest(f.cfg.Path), Messages: ledger.Version}
}

// serving tells whether the replica takes clients and is to.
func (f *Fleet) serving() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica != nil && f.entered == 0 && f.replica.Operator().Ready() == nil && !f.replica.Drained() && !f.replica.Leaving()
}

// giveBack gives a slot of maintenance back that an earlier process of this box held, as soon as this one serves.
func (f *Fleet) giveBack(ctx context.Context) {
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		f.leaveIfOut()
		for _, t := range f.InheritedTasks() {
			if ask, _, _ := t.Status(); ask.Task == MaintenanceTask && f.serving() {
				f.log.Info().Uint64("token", ask.Token).Msg("back from maintenance; the slot is given back")
				t.Release()
			}
		}
	}
}

// leaveIfOut takes the box out of service while it is shut out, if the fleet's configuration says so. How many may be shut out
// at a time is bounded there.
func (f *Fleet) leaveIfOut() {
	f.mu.Lock()
	r, gone := f.replica, f.gone
	f.mu.Unlock()
	out := f.LeavesServiceWhenShutOut()
	if r == nil || out == gone || out && !f.serving() {
		return
	}
	if err := r.Operator().Drain(out); err != nil {
		f.log.Warn().Err(err).Bool("leave", out).Msg("shut out of the fleet, and service cannot be left or taken up")
		return
	}
	f.log.Warn().Bool("leave", out).Msg("service is left while the box is shut out of the fleet")
	f.RecordAudit(audit.Drain, out, "shut out of the fleet")
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gone = out
}

// totals reads what the box has counted.
func (f *Fleet) totals() (t view.Totals) {
	if r := f.serves(); r != nil {
		t = view.TotalsOf(r.Operator().Figures(), r.Level())
	}
	return t
}

// serves is the replica once clients are taken, nil before.
func (f *Fleet) serves() *daemon.Replica {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica
}

// advise has the module go by what the fleet says.
func (f *Fleet) advise(a *shed.Advice) {
	if r := f.serves(); r != nil {
		r.Advise(a)
	}
}

// overload reads what a configuration says of overload.
func (f *Fleet) overload(n uint64, body []byte) *shed.Rules {
	c, err := config.ParseNumbered(fmt.Sprintf("configuration %d", n), body)
	if err != nil || c.Overload == nil {
		return nil // it was checked before it came into force
	}
	classes := f.cfg.Site.Policy.Classes
	return &shed.Rules{Version: n, Tries: c.Overload.Tries, Shares: c.Overload.Shares, Order: shed.SheddingOrder(len(classes), func(i int) float64 { return classes[i].Worth }, func(i int) time.Duration { return classes[i].Aim })}
}

// AuditFolder implements control.Fleet.
func (f *Fleet) AuditFolder() string {
	dir := filepath.Join(f.cfg.State, "audit")
	if abs, err := filepath.Abs(dir); err == nil {
		return abs
	}
	return dir
}

// Operated implements control.Fleet: the audit has who has said what.
func (f *Fleet) Operated(caller, what string, err error) {
	if err != nil {
		what += ": " + err.Error()
	}
	what = caller + ": " + what
	f.RecordAudit(audit.Operator, err == nil, what[:min(len(what), 400)])
}

// Begin implements control.Fleet.
func (f *Fleet) Begin(r lease.Request) (uint64, error) {
	if r.Task == MaintenanceTask {
		return 0, fmt.Errorf("%q is taken by 'cairnctl drain on' and 'cairnctl stop'", MaintenanceTask)
	}
	return f.desk.Begin(r)
}

// Poll, Command and End implement control.Fleet.
func (f *Fleet) Poll(id uint64, wait time.Duration) (fleet.RunStatus, error) {
	return f.desk.Poll(id, wait)
}

// Command says which process group acts under a slot.
func (f *Fleet) Command(id uint64, pgid int) error { return f.desk.Command(id, pgid) }

// End gives a slot back.
func (f *Fleet) End(id uint64) error { return f.desk.End(id) }

// Maintain implements control.Fleet.
func (f *Fleet) Maintain() (uint64, error) {
	f.mu.Lock()
	entered := f.entered
	f.mu.Unlock()
	if entered != 0 {
		return 0, errors.New("this box is out of service already")
	}
	return f.desk.Begin(lease.Request{Task: MaintenanceTask, Slots: f.cfg.Fleet.Maintenance, Sticky: true})
}

// Enter implements control.Fleet: the box goes out of service, and keeps its slot until it is back.
func (f *Fleet) Enter(id uint64, what string) error {
	s, err := f.desk.Poll(id, 0)
	if err != nil {
		return err
	}
	if s.Left <= 0 {
		return fmt.Errorf("the slot is %s and may not be used now", s.StateName)
	}
	f.mu.Lock()
	r := f.replica
	f.mu.Unlock()
	if r == nil {
		return errors.New("the replica does not serve yet")
	}
	if err := f.desk.Keep(id); err != nil {
		return err
	}
	if what == "stop" {
		r.Drain()
	} else if err = r.Operator().Drain(true); err != nil {
		f.desk.End(id)
		return err
	}
	f.RecordAudit(audit.Drain, true, fmt.Sprintf("%s under token %d", what, s.Token))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entered = id
	return nil
}

// back gives the slot of maintenance back, once the box serves again.
func (f *Fleet) back() {
	f.mu.Lock()
	id := f.entered
	f.entered = 0
	f.mu.Unlock()
	if id != 0 {
		f.desk.End(id)
	}
}

// ChangeVoters implements control.Fleet.
func (f *Fleet) ChangeVoters(how string, names []string) error {
	return f.Voters(func(now []string) ([]string, error) {
		next := slices.Clone(now)
		for i, name := range names {
			known := slices.Contains(now, name)
			switch {
			case how == "remove" || how == "replace" && i == 0:
				if !known {
					return nil, fmt.Errorf("%q is no voter; they are %v", name, now)
				}
				next = slices.DeleteFunc(next, func(n string) bool { return n == name })
			case how != "add" && how != "replace":
				return nil, fmt.Errorf("%q is none of add, remove, replace", how)
			case known:
				return nil, fmt.Errorf("%q is a voter already", name)
			case f.cfg.Fleet.Addresses()[name] == "":
				return nil, fmt.Errorf("%q is no box of this fleet's configuration", name)
			default:
				next = append(next, name)
			}
		}
		return next, nil
	})
}

// keeper is the replica's door in a fleet: what ends a drain gives the slot back.
type keeper struct {
	operator.Replica
	fleet *Fleet
}

// Drain implements operator.Replica.
func (k keeper) Drain(on bool) error {
	err := k.Replica.Drain(on)
	k.fleet.RecordAudit(audit.Drain, on, fmt.Sprint("by an operator: ", err == nil))
	if err == nil && !on {
		k.fleet.back()
	}
	return err
}

var _ control.Fleet = (*Fleet)(nil)
