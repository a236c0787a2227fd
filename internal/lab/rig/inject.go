package rig

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// EffectTrap lets faults of kind StopInAct stop a box between a permit's check and its effect. The fake resource implements it.
type EffectTrap interface {
	// StopNext calls stop with each box that is about to act, before its effect begins, until stop returns true.
	StopNext(stop func(box string) bool)
}

// InjectedFaults counts the injected faults by kind.
type InjectedFaults map[Kind]int

// Total returns the number of injected faults.
func (p InjectedFaults) Total() (n int) {
	for _, k := range p {
		n += k
	}
	return n
}

// Inject injects the faults of a schedule and restores all boxes and links at its end. A fault is skipped if another one is active at
// the box, and it is replaced by Kill if a majority of voters could lose their disks.
func (s *Site) Inject(sched Schedule, traps EffectTrap) (InjectedFaults, error) {
	injected := InjectedFaults{}
	var mu sync.Mutex
	var wait sync.WaitGroup
	errs := make(chan error, len(sched)+1)
	began := time.Now()
	for _, f := range sched {
		time.Sleep(time.Until(began.Add(f.At)))
		wait.Go(func() {
			kind, err := s.inject(f, traps)
			if err != nil {
				errs <- fmt.Errorf("%v: %w", f, err)
			}
			if kind != "" {
				mu.Lock()
				defer mu.Unlock()
				injected[kind]++
			}
		})
	}
	wait.Wait()
	s.Net.Heal()
	for _, b := range s.Boxes {
		b.setStopped(false)
		b.setDiskFull(false)
	}
	select {
	case err := <-errs:
		return injected, err
	default:
		return injected, nil
	}
}

// setDiskFull makes a box's writes fail as on a full disk, or ends that. It needs a trial build.
func (b *Box) setDiskFull(on bool) error {
	var errs []error
	for _, dir := range []string{"fleet", "audit"} {
		at := filepath.Join(b.stateDir(), dir, "full")
		if on {
			errs = append(errs, os.WriteFile(at, nil, 0o600))
		} else if err := os.Remove(at); !errors.Is(err, os.ErrNotExist) {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}

// moveStateAside moves a box's state directory away. It is kept so that its audit can still be evaluated.
func (b *Box) moveStateAside() error {
	return os.Rename(b.stateDir(), filepath.Join(b.dir, fmt.Sprintf("lost-%d", time.Now().UnixNano())))
}

// AuditDirs lists the audit directories of a box: the current one first, then those of lost state directories and of twins.
func (b *Box) AuditDirs() (list []string) {
	list = []string{filepath.Join(b.stateDir(), "audit")}
	for _, pattern := range []string{"lost-*/audit", "twin-*/state/audit"} {
		more, _ := filepath.Glob(filepath.Join(b.dir, pattern))
		list = append(list, more...)
	}
	return list
}

// reserve marks a box as having an active fault. It returns false if another fault is active at it.
func (b *Box) reserve() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.faultActive {
		return false
	}
	b.faultActive = true
	return true
}

func (b *Box) unreserve() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faultActive = false
}

// mayLoseDisk reports whether a box may lose its disk: it is no voter, or all other voters answer and still have their disks.
// A voter that may lose its disk is marked as having lost it.
func (s *Site) mayLoseDisk(b *Box) bool {
	votes := false
	for _, v := range s.cfg.Voters {
		voter := s.Boxes[v]
		if voter == b {
			votes = true
			continue
		}
		status, err := voter.Status()
		voter.mu.Lock()
		if err == nil && (status.Role == "voter" || status.Role == "leader") && !voter.awaitingStart {
			voter.diskLost = false
		}
		lost := voter.diskLost
		voter.mu.Unlock()
		if lost || err != nil || len(status.Voters) != len(s.cfg.Voters) {
			return !s.isVoter(b)
		}
	}
	if votes {
		b.mu.Lock()
		b.diskLost, b.awaitingStart = true, true
		b.mu.Unlock()
	}
	return true
}

func (s *Site) isVoter(b *Box) bool {
	for _, v := range s.cfg.Voters {
		if v == b.Index {
			return true
		}
	}
	return false
}

// diskLossMu serializes calls of mayLoseDisk, so that two voters are not allowed to lose their disks at the same time.
var diskLossMu sync.Mutex

// inject injects one fault and waits until it is over. It returns the kind that was injected, or "" if the fault was skipped.
func (s *Site) inject(f Fault, traps EffectTrap) (Kind, error) {
	b, other := s.Boxes[f.Box%len(s.Boxes)], s.Boxes[f.Other%len(s.Boxes)]
	n := len(s.Boxes)
	both := func(change func(*Flow)) {
		s.Net.SetFlow(b.Index, other.Index, change)
		s.Net.SetFlow(other.Index, b.Index, change)
	}
	all := func(out, in bool, change func(*Flow)) {
		for i := range n {
			if i == b.Index {
				continue
			}
			if out {
				s.Net.SetFlow(b.Index, i, change)
			}
			if in {
				s.Net.SetFlow(i, b.Index, change)
			}
		}
	}
	cut, heal := func(f *Flow) { f.Drop = true }, func(f *Flow) { f.Drop = false }
	kind := f.Kind
	switch kind {
	case KillLeader, StopLeader:
		if l := s.Leader(); l != nil {
			b = l
		}
	}
	switch kind { // faults of a box's process or disk
	case Kill, EmptyDisk, OldCopy, Stop, KillLeader, StopLeader, FullDisk, Twin, WallClockJump:
		if !b.reserve() {
			return "", nil
		}
		defer b.unreserve()
	}
	if kind == EmptyDisk || kind == OldCopy || kind == Twin { // a twin may take over its box's vote, and is killed at the end
		diskLossMu.Lock()
		if !s.mayLoseDisk(b) {
			kind = Kill
		}
		diskLossMu.Unlock()
	}
	if kind != StopInAct { // package audits parses the two texts below
		s.record(b.Index, "%s for %v", kind, f.For)
		defer s.record(b.Index, "%s is over", kind)
	}
	switch kind {
	case Stop, StopLeader:
		b.setStopped(true)
		time.Sleep(f.For)
		b.setStopped(false)
	case StopInAct:
		if traps == nil {
			return "", nil
		}
		over := make(chan bool, 1)
		traps.StopNext(func(box string) bool {
			for _, t := range s.Boxes {
				if t.Name == box && t.reserve() {
					// Long enough for another box to be granted the slot and to act.
					span := s.cfg.Terms.Term*3/2 + time.Second + f.For/4
					s.record(t.Index, "stopped in an act for %v", span)
					t.setStopped(true)
					go func() {
						time.Sleep(span)
						t.setStopped(false)
						t.unreserve()
						over <- true
					}()
					return true
				}
			}
			return false
		})
		select {
		case <-over:
		case <-time.After(2*s.cfg.Terms.Term + 10*time.Second):
			return "", nil
		}
	case Kill, KillLeader:
		b.Kill()
		time.Sleep(f.For)
		return kind, b.Start()
	case EmptyDisk:
		b.Kill()
		time.Sleep(f.For)
		if err := b.moveStateAside(); err != nil {
			return kind, err
		}
		return kind, b.Start()
	case OldCopy:
		old := filepath.Join(b.dir, fmt.Sprintf("old-%d", time.Now().UnixNano()))
		b.setStopped(true)
		err := copyDir(b.stateDir(), old)
		b.setStopped(false)
		if err != nil {
			return kind, err
		}
		time.Sleep(f.For)
		b.Kill()
		if err := b.moveStateAside(); err != nil {
			return kind, err
		}
		if err := copyDir(old, b.stateDir()); err != nil {
			return kind, err
		}
		return kind, b.Start()
	case FullDisk:
		if err := b.setDiskFull(true); err != nil {
			return kind, err
		}
		time.Sleep(f.For)
		return kind, b.setDiskFull(false)
	case Twin:
		return kind, s.runTwin(b, f.For)
	case OneWay:
		s.Net.SetFlow(b.Index, other.Index, cut)
		time.Sleep(f.For)
		s.Net.SetFlow(b.Index, other.Index, heal)
	case DropIncoming, DropOutgoing, Isolate:
		all(kind != DropIncoming, kind != DropOutgoing, cut)
		time.Sleep(f.For)
		all(kind != DropIncoming, kind != DropOutgoing, heal)
	case Split:
		set := func(change func(*Flow)) {
			for i := range n {
				for j := range n {
					if i != j && f.Other>>i&1 != f.Other>>j&1 {
						s.Net.SetFlow(i, j, change)
					}
				}
			}
		}
		set(cut)
		time.Sleep(f.For)
		set(heal)
	case Hold:
		both(func(f *Flow) { f.Hold = true })
		time.Sleep(f.For)
		both(func(f *Flow) { f.Hold = false })
	case Slow:
		all(true, false, func(l *Flow) { l.Delay = f.For / 10 })
		time.Sleep(f.For)
		all(true, false, func(l *Flow) { l.Delay = 0 })
	case LimitRate:
		all(true, false, func(l *Flow) { l.Rate = 20 << 10 })
		time.Sleep(f.For)
		all(true, false, func(l *Flow) { l.Rate = 0 })
	case Break:
		both(func(f *Flow) { f.Break = true })
	case Refuse:
		both(func(f *Flow) { f.Reject, f.Break = true, true })
		time.Sleep(f.For)
		both(func(f *Flow) { f.Reject = false })
	case Flap:
		each := s.cfg.Terms.RenewInterval()
		for end := time.Now().Add(f.For + 4*each); time.Now().Before(end); {
			all(true, true, cut)
			time.Sleep(each)
			all(true, true, heal)
			time.Sleep(each)
		}
	case WallClockJump: // the box stays reserved, because a restart now would leave its clock off for good
		if err := replaceFile(b.wallOffsetFile(), fmt.Sprint(time.Duration(other.Index-b.Index)*time.Hour)); err != nil {
			return kind, err
		}
		time.Sleep(f.For)
		return kind, os.Remove(b.wallOffsetFile())
	case RotateKey:
		if !s.keyChangeMu.TryLock() {
			return "", nil
		}
		defer s.keyChangeMu.Unlock()
		return kind, s.changeKey(f.For)
	case ColdRestart, KillAll:
		return kind, s.killMany(kind, f)
	}
	return kind, nil
}

// changeKey rotates the fleet's key as documented for operators: first all boxes get both keys, then the new key alone. After each box
// its connections are broken, so that boxes at different steps have to connect to each other.
func (s *Site) changeKey(span time.Duration) error {
	old := s.key
	s.key = newKey()
	for _, keys := range []string{old + s.key, s.key} {
		for _, b := range s.Boxes {
			if err := replaceFile(b.keyFile(), keys); err != nil {
				return err
			}
			for _, other := range s.Boxes {
				if other != b {
					s.Net.SetFlow(b.Index, other.Index, func(f *Flow) { f.Break = true })
					s.Net.SetFlow(other.Index, b.Index, func(f *Flow) { f.Break = true })
				}
			}
			time.Sleep(span / time.Duration(2*len(s.Boxes)))
		}
	}
	return nil
}

// replaceFile replaces a file atomically by one with the given text.
func replaceFile(path, text string) error {
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// killMany kills all boxes at once and restarts them. With ColdRestart it kills only those that may lose their disks and restarts these with
// empty state; a majority of voters keeps running.
func (s *Site) killMany(kind Kind, f Fault) error {
	var wait sync.WaitGroup
	errs := make(chan error, len(s.Boxes))
	kept := 0
	for _, b := range s.Boxes {
		empty := false
		if kind == ColdRestart {
			diskLossMu.Lock()
			empty = s.mayLoseDisk(b)
			diskLossMu.Unlock()
			if !empty {
				kept++
				continue
			}
		}
		if !b.reserve() {
			continue
		}
		wait.Go(func() {
			defer b.unreserve()
			b.Kill()
			// The boxes restart in an order that depends on f.Other, all within f.For.
			time.Sleep(f.For * time.Duration((b.Index*7+f.Other)%len(s.Boxes)) / time.Duration(len(s.Boxes)))
			if empty {
				if err := b.moveStateAside(); err != nil {
					errs <- err
					return
				}
			}
			if err := b.Start(); err != nil {
				errs <- err
			}
		})
	}
	wait.Wait()
	select {
	case err := <-errs:
		return err
	default:
		return nil
	}
}

// runTwin runs a second process from a copy of a box's state, under the same name. The fleet treats the later process as the box and
// notifies the first. At the end the twin is killed and the first one restarted, as an operator would do.
func (s *Site) runTwin(b *Box, span time.Duration) error {
	dir := filepath.Join(b.dir, fmt.Sprintf("twin-%d", time.Now().UnixNano()))
	addrs, err := FreeAddrs(2)
	if err != nil {
		return err
	}
	if err := b.writeConfig(dir, addrs[0], addrs[1]); err != nil {
		return err
	}
	b.setStopped(true)
	err = copyDir(b.stateDir(), filepath.Join(dir, "state"))
	b.setStopped(false)
	if err != nil {
		return err
	}
	cmd := s.cfg.Command(filepath.Join(dir, "a.hcl"))
	if cmd.Env == nil {
		cmd.Env = os.Environ()
	}
	if s.cfg.Env != nil {
		cmd.Env = append(cmd.Env, s.cfg.Env(b.Index)...)
	}
	p, err := Start(cmd, nil)
	if err != nil {
		return err
	}
	time.Sleep(span)
	p.Kill()
	b.Kill()
	return b.Start()
}

// InjectOutage kills a box and restarts it after a span, or stops it with SIGSTOP for that span. It returns at once. While another fault is
// active at the box, it does nothing and returns false.
func (b *Box) InjectOutage(kill bool, span time.Duration) bool {
	if !b.reserve() {
		return false
	}
	b.site.record(b.Index, "out of service for %v, killed: %v", span, kill)
	if !kill {
		b.setStopped(true)
	} else {
		b.Kill()
	}
	b.site.outages.Go(func() {
		defer b.unreserve()
		time.Sleep(span)
		if !kill {
			b.setStopped(false)
		} else if err := b.Start(); err != nil {
			b.site.record(b.Index, "restart failed: %v", err)
		}
	})
	return true
}
