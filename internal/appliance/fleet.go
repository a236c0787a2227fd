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

// Fleet is the component that makes the box a member of its fleet. It implements daemon.Component and control.Fleet. Serving requests never waits for it.
type Fleet struct {
	*fleet.Fleet
	cfg        *config.Appliance
	log        zerolog.Logger
	supervisor *fleet.ProcessSupervisor
	cancel     context.CancelFunc
	audit      *audit.Log
	pacer      *fleet.Pacer

	mu                  sync.Mutex
	replica             *daemon.Replica // nil until it accepts clients
	maintenanceID       uint64          // run of the process supervisor under whose slot the box is out of service; 0 if none
	drainedWhileShutOut bool            // drained because the box is shut out of the fleet
}

// MaintenanceTask is the task whose slots limit how many boxes are out of service at a time.
const MaintenanceTask = "maintenance"

// BuildVersion returns the program's version from its build information: the first 12 digits of the commit, if known.
func BuildVersion() string {
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

// number is the build number, which says what configurations the build supports: it is raised with each addition to the
// fleet's configuration. A build can set another one with -ldflags "-X cairnlane/internal/appliance.number=3".
var number = "2"

// BuildNumber returns the build number, 1 if it cannot be parsed.
func BuildNumber() uint64 {
	n, err := strconv.ParseUint(number, 10, 32)
	if err != nil {
		return 1
	}
	return n
}

// checkNumbered validates a configuration of the fleet and returns the build number that it needs and its roll-out
// rules. n is 0 before the configuration has a number.
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
		if err := trialRejects(f.cfg.Site.Name, c.Values); err != nil {
			return 0, rollout.Rules{}, fmt.Errorf("%s: %w", name, err)
		}
	}
	return c.Needs, c.Rules(), nil
}

// ledgerTiming derives the ledger's intervals from the configured election timeout.
func ledgerTiming(c *config.Fleet) ledger.Timing {
	t := ledger.DefaultTiming
	if c.ElectionMS > 0 {
		t.Election = time.Duration(c.ElectionMS) * time.Millisecond
		t.Heartbeat, t.Poll = max(t.Election/10, 5*time.Millisecond), t.Election
	}
	return t
}

// Start implements daemon.Component.
func (f *Fleet) Start(ctx context.Context, _ *front.Server, set *counters.Set) (err error) {
	c := f.cfg.Fleet
	dir := filepath.Join(f.cfg.State, "audit")
	var found string
	if f.audit, found, err = audit.Open(dir, f.cfg.Site.Name, audit.DefaultLimits, func() time.Duration { return time.Duration(clock.Wall().UnixNano()) }); err != nil {
		return err
	}
	f.audit.Append(audit.Entry{Kind: audit.Start, Text: found})
	store, problems, err := configs.Open(faultfs.Disk{}, filepath.Join(f.cfg.State, "fleet-config"))
	if err != nil {
		return err
	}
	if problems != "" {
		f.log.Error().Str("wrong", problems).Msg("stored configurations of the fleet are corrupt; fetching them again")
	}
	served, rejected, failed := set.Get("answers_served"), set.Get("answers_refused"), set.Get("answers_failed")
	f.pacer = fleet.NewPacer(f.cfg.Site.Name, clock.SinceBoot, engine.DefaultBackoff)
	f.Fleet, err = fleet.Open(fleet.Config{Audit: f.audit, AuditBuild: f.auditBuild(), BuildNumber: BuildNumber(), Configs: store, CheckConfig: f.checkNumbered,
		Load: f.loadTotals, Overload: f.overloadRules, OnAdvice: f.applyAdvice, Pacer: f.pacer, MaxRetryDelay: f.cfg.Site.Policy.MaxHoldOff,
		Served: func() (good, bad uint64) { return uint64(served.Load()), uint64(rejected.Load() + failed.Load()) },
		Name:   f.cfg.Site.Name, Listen: c.Listen, Peers: c.Addresses(), KeyFile: c.KeyFile, Dir: filepath.Join(f.cfg.State, "fleet"),
		Build: BuildVersion(), Timing: ledgerTiming(c), Now: clock.SinceBoot, Logf: func(format string, args ...any) { f.log.Warn().Msg("fleet: " + fmt.Sprintf(format, args...)) }}, set)
	if err != nil {
		return err
	}
	f.supervisor = fleet.NewProcessSupervisor(f.Fleet, fleet.SystemProcessGroups{})
	f.log.Info().Str("listen", f.Addr()).Msg("fleet listener started")
	ctx, f.cancel = context.WithCancel(ctx)
	go f.watchService(ctx)
	return nil
}

// Running returns the fleet, nil before the component has been started.
func (f *Fleet) Running() *fleet.Fleet { return f.Fleet }

// StopIntake implements daemon.Component. It does nothing: the box stays in the fleet until Close, as runs in progress may
// still need its leases.
func (f *Fleet) StopIntake() {}

// Close implements daemon.Component.
func (f *Fleet) Close() {
	if f.Fleet == nil {
		return
	}
	f.cancel()
	f.supervisor.Close()
	f.Fleet.Close()
	f.audit.Close()
}

// auditBuild returns the versions that the audit log records for this box: the program, its settings, its own
// configuration and the version of the ledger's messages.
func (f *Fleet) auditBuild() audit.Build {
	digest := func(path string) string {
		raw, err := os.ReadFile(path)
		if err != nil {
			return "unreadable"
		}
		return fmt.Sprintf("%016x", xxhash.Sum64(raw))
	}
	return audit.Build{Number: BuildNumber(), Program: BuildVersion(), Settings: digest(f.cfg.Replica), Config: digest(f.cfg.Path), Messages: ledger.Version}
}

// serving reports whether the replica accepts clients and is neither drained nor out of service for maintenance.
func (f *Fleet) serving() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica != nil && f.maintenanceID == 0 && f.replica.Operator().Ready() == nil && !f.replica.Drained() && !f.replica.Leaving()
}

// watchService releases a maintenance slot that an earlier process of this box held as soon as this one serves, and
// drains the box while it is shut out.
func (f *Fleet) watchService(ctx context.Context) {
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		f.drainWhileShutOut()
		for _, t := range f.InheritedTasks() {
			if ask, _, _ := t.Status(); ask.Task == MaintenanceTask && f.serving() {
				f.log.Info().Uint64("token", ask.Token).Msg("maintenance finished; releasing the slot")
				t.Release()
			}
		}
	}
}

// drainWhileShutOut drains the replica while the box is shut out of the fleet, if the fleet's configuration requires
// it. That configuration also limits how many boxes may be shut out at a time.
func (f *Fleet) drainWhileShutOut() {
	f.mu.Lock()
	r, drained := f.replica, f.drainedWhileShutOut
	f.mu.Unlock()
	shutOut := f.LeavesServiceWhenShutOut()
	if r == nil || shutOut == drained || shutOut && !f.serving() {
		return
	}
	if err := r.Operator().Drain(shutOut); err != nil {
		f.log.Warn().Err(err).Bool("leave", shutOut).Msg("cannot change the drain state after the box was shut out or let in again")
		return
	}
	f.log.Warn().Bool("leave", shutOut).Msg("drain state changed: the box drains while it is shut out of the fleet")
	f.RecordAudit(audit.Drain, shutOut, "shut out of the fleet")
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drainedWhileShutOut = shutOut
}

// loadTotals returns the load counters of the box, zero before the replica accepts clients.
func (f *Fleet) loadTotals() (t view.Totals) {
	if r := f.startedReplica(); r != nil {
		t = view.TotalsOf(r.Operator().Figures(), r.ShedLevel())
	}
	return t
}

// startedReplica returns the replica, nil before it accepts clients.
func (f *Fleet) startedReplica() *daemon.Replica {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica
}

// applyAdvice passes the fleet's advice to the replica.
func (f *Fleet) applyAdvice(a *shed.Advice) {
	if r := f.startedReplica(); r != nil {
		r.SetAdvice(a)
	}
}

// overloadRules returns the overload rules of a numbered configuration, nil if it has none.
func (f *Fleet) overloadRules(n uint64, body []byte) *shed.Rules {
	c, err := config.ParseNumbered(fmt.Sprintf("configuration %d", n), body)
	if err != nil || c.Overload == nil {
		return nil // an invalid configuration cannot be in force
	}
	classes := f.cfg.Site.Policy.Classes
	return &shed.Rules{Version: n, Tries: c.Overload.Tries, Shares: c.Overload.Shares, Order: shed.SheddingOrder(len(classes), func(i int) float64 { return classes[i].Worth }, func(i int) time.Duration { return classes[i].Aim })}
}

// AuditFolder implements control.Fleet. It returns an absolute path if possible.
func (f *Fleet) AuditFolder() string {
	dir := filepath.Join(f.cfg.State, "audit")
	if abs, err := filepath.Abs(dir); err == nil {
		return abs
	}
	return dir
}

// RecordOperatorCall implements control.Fleet. It records an operator's command and its result in the audit log.
func (f *Fleet) RecordOperatorCall(caller, what string, err error) {
	if err != nil {
		what += ": " + err.Error()
	}
	what = caller + ": " + what
	f.RecordAudit(audit.Operator, err == nil, what[:min(len(what), 400)])
}

// Begin implements control.Fleet.
func (f *Fleet) Begin(r lease.Request) (uint64, error) {
	if r.Task == MaintenanceTask {
		return 0, fmt.Errorf("task %q is reserved for 'cairnctl drain on' and 'cairnctl stop'", MaintenanceTask)
	}
	return f.supervisor.Begin(r)
}

// Poll implements control.Fleet.
func (f *Fleet) Poll(id uint64, wait time.Duration) (fleet.RunStatus, error) {
	return f.supervisor.Poll(id, wait)
}

// Command implements control.Fleet. It sets the process group that acts under a slot.
func (f *Fleet) Command(id uint64, pgid int) error { return f.supervisor.Command(id, pgid) }

// End implements control.Fleet. It releases a slot.
func (f *Fleet) End(id uint64) error { return f.supervisor.End(id) }

// RequestMaintenance implements control.Fleet. It requests a maintenance slot.
func (f *Fleet) RequestMaintenance() (uint64, error) {
	f.mu.Lock()
	current := f.maintenanceID
	f.mu.Unlock()
	if current != 0 {
		return 0, errors.New("this box is already out of service for maintenance")
	}
	return f.supervisor.Begin(lease.Request{Task: MaintenanceTask, Slots: f.cfg.Fleet.Maintenance, Sticky: true})
}

// EnterMaintenance implements control.Fleet. It takes the box out of service and keeps the maintenance slot until it serves again.
func (f *Fleet) EnterMaintenance(id uint64, what string) error {
	s, err := f.supervisor.Poll(id, 0)
	if err != nil {
		return err
	}
	if s.Left <= 0 {
		return fmt.Errorf("the maintenance slot is %s and cannot be used now", s.StateName)
	}
	f.mu.Lock()
	r := f.replica
	f.mu.Unlock()
	if r == nil {
		return errors.New("the replica does not accept clients yet")
	}
	if err := f.supervisor.Keep(id); err != nil {
		return err
	}
	if what == "stop" {
		r.Drain()
	} else if err = r.Operator().Drain(true); err != nil {
		f.supervisor.End(id)
		return err
	}
	f.RecordAudit(audit.Drain, true, fmt.Sprintf("%s under token %d", what, s.Token))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.maintenanceID = id
	return nil
}

// releaseMaintenance releases the maintenance slot once the box serves again.
func (f *Fleet) releaseMaintenance() {
	f.mu.Lock()
	id := f.maintenanceID
	f.maintenanceID = 0
	f.mu.Unlock()
	if id != 0 {
		f.supervisor.End(id)
	}
}

// ChangeVoters implements control.Fleet. It adds, removes or replaces voters of the ledger.
func (f *Fleet) ChangeVoters(how string, names []string) error {
	return f.Voters(func(now []string) ([]string, error) {
		next := slices.Clone(now)
		for i, name := range names {
			known := slices.Contains(now, name)
			switch {
			case how == "remove" || how == "replace" && i == 0:
				if !known {
					return nil, fmt.Errorf("%q is not a voter; the voters are %v", name, now)
				}
				next = slices.DeleteFunc(next, func(n string) bool { return n == name })
			case how != "add" && how != "replace":
				return nil, fmt.Errorf("unknown change %q: want add, remove or replace", how)
			case known:
				return nil, fmt.Errorf("%q is already a voter", name)
			case f.cfg.Fleet.Addresses()[name] == "":
				return nil, fmt.Errorf("%q is not a box in this fleet's configuration", name)
			default:
				next = append(next, name)
			}
		}
		return next, nil
	})
}

// fleetReplica is the replica as operators control it in a fleet: the end of a drain also releases the maintenance slot.
type fleetReplica struct {
	operator.Replica
	fleet *Fleet
}

// Drain implements operator.Replica.
func (k fleetReplica) Drain(on bool) error {
	err := k.Replica.Drain(on)
	k.fleet.RecordAudit(audit.Drain, on, fmt.Sprint("by an operator: ", err == nil))
	if err == nil && !on {
		k.fleet.releaseMaintenance()
	}
	return err
}

var _ control.Fleet = (*Fleet)(nil)
