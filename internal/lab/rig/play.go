package rig

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Traps are how faults find the moment between a permit's check and its effect; a stand-in has one.
type Traps interface {
	// Stop has stop called for a box that is about to act, before it does, and for the next one until stop says that it did.
	Stop(stop func(box string) bool)
}

// Played are the faults that were carried out, by kind.
type Played map[Kind]int

// Sum is how many they were.
func (p Played) Sum() (n int) {
	for _, k := range p {
		n += k
	}
	return n
}

// Play carries out a schedule and heals everything at its end. A fault that cannot be, because another one is under way at the
// box or a majority of voters would lose its disks, is carried out as a lesser one or left out.
func (s *Site) Play(sched Schedule, traps Traps) (Played, error) {
	played := Played{}
	var mu sync.Mutex
	var wait sync.WaitGroup
	errs := make(chan error, len(sched)+1)
	began := time.Now()
	for _, f := range sched {
		time.Sleep(time.Until(began.Add(f.At)))
		wait.Go(func() {
			kind, err := s.carryOut(f, traps)
			if err != nil {
				errs <- fmt.Errorf("%v: %w", f, err)
			}
			if kind != "" {
				mu.Lock()
				defer mu.Unlock()
				played[kind]++
			}
		})
	}
	wait.Wait()
	s.Net.Heal()
	for _, b := range s.Boxes {
		b.stop(false)
		b.fill(false)
	}
	select {
	case err := <-errs:
		return played, err
	default:
		return played, nil
	}
}

// fill makes a box's disk be full, or not; a trial build.
func (b *Box) fill(on bool) error {
	var errs []error
	for _, dir := range []string{"fleet", "audit"} {
		at := filepath.Join(b.state(), dir, "full")
		if on {
			errs = append(errs, os.WriteFile(at, nil, 0o600))
		} else if err := os.Remove(at); !errors.Is(err, os.ErrNotExist) {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}

// lose takes a box's state away. It is kept aside for whoever judges what was done.
func (b *Box) lose() error {
	return os.Rename(b.state(), filepath.Join(b.dir, fmt.Sprintf("lost-%d", time.Now().UnixNano())))
}

// Audits lists the folders of audits that a box has and had: the present one first, then those that it lost and those of twins.
func (b *Box) Audits() (list []string) {
	list = []string{filepath.Join(b.state(), "audit")}
	for _, pattern := range []string{"lost-*/audit", "twin-*/state/audit"} {
		more, _ := filepath.Glob(filepath.Join(b.dir, pattern))
		list = append(list, more...)
	}
	return list
}

// take reserves a box for a fault; false means that another one is under way at it.
func (b *Box) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.busy {
		return false
	}
	b.busy = true
	return true
}

func (b *Box) done() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.busy = false
}

// mayLose tells whether a box may lose its disk: it does not vote, or all other voters have theirs.
func (s *Site) mayLose(b *Box) bool {
	votes := false
	for _, v := range s.cfg.Voters {
		o := s.Boxes[v]
		if o == b {
			votes = true
			continue
		}
		st, err := o.Status()
		o.mu.Lock()
		if err == nil && (st.Role == "voter" || st.Role == "leader") && !o.losing {
			o.cold = false
		}
		cold := o.cold
		o.mu.Unlock()
		if cold || err != nil || len(st.Voters) != len(s.cfg.Voters) {
			return !s.isVoter(b)
		}
	}
	if votes {
		b.mu.Lock()
		b.cold, b.losing = true, true
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

// lossy guards that only one voter at a time is found to be allowed to lose its disk.
var lossy sync.Mutex

// carryOut plays one fault from its begin to its end and tells what it was played as; "" when it was left out.
func (s *Site) carryOut(f Fault, traps Traps) (Kind, error) {
	b, o := s.Boxes[f.Box%len(s.Boxes)], s.Boxes[f.Other%len(s.Boxes)]
	n := len(s.Boxes)
	both := func(change func(*Flow)) {
		s.Net.Set(b.Index, o.Index, change)
		s.Net.Set(o.Index, b.Index, change)
	}
	all := func(out, in bool, change func(*Flow)) {
		for i := range n {
			if i == b.Index {
				continue
			}
			if out {
				s.Net.Set(b.Index, i, change)
			}
			if in {
				s.Net.Set(i, b.Index, change)
			}
		}
	}
	cut, heal := func(f *Flow) { f.Cut = true }, func(f *Flow) { f.Cut = false }
	kind := f.Kind
	switch kind {
	case Leader, StopLead:
		if l := s.Leader(); l != nil {
			b = l
		}
	}
	switch kind { // faults of a process
	case Kill, Empty, OldCopy, Stop, Leader, StopLead, Full, Twin, Wall:
		if !b.take() {
			return "", nil
		}
		defer b.done()
	}
	if kind == Empty || kind == OldCopy || kind == Twin { // a twin may take its box's vote, and goes again
		lossy.Lock()
		if !s.mayLose(b) {
			kind = Kill
		}
		lossy.Unlock()
	}
	if kind != StopAct {
		s.happened(b.Index, "%s for %v", kind, f.For)
		defer s.happened(b.Index, "%s is over", kind)
	}
	switch kind {
	case Stop, StopLead:
		b.stop(true)
		time.Sleep(f.For)
		b.stop(false)
	case StopAct:
		if traps == nil {
			return "", nil
		}
		over := make(chan bool, 1)
		traps.Stop(func(box string) bool {
			for _, t := range s.Boxes {
				if t.Name == box && t.take() {
					// Long enough for another box to have got the slot and acted.
					span := s.cfg.Terms.Term*3/2 + time.Second + f.For/4
					s.happened(t.Index, "stopped in an act for %v", span)
					t.stop(true)
					go func() {
						time.Sleep(span)
						t.stop(false)
						t.done()
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
	case Kill, Leader:
		b.Kill()
		time.Sleep(f.For)
		return kind, b.Start()
	case Empty:
		b.Kill()
		time.Sleep(f.For)
		if err := b.lose(); err != nil {
			return kind, err
		}
		return kind, b.Start()
	case OldCopy:
		old := filepath.Join(b.dir, fmt.Sprintf("old-%d", time.Now().UnixNano()))
		b.stop(true)
		err := copyDir(b.state(), old)
		b.stop(false)
		if err != nil {
			return kind, err
		}
		time.Sleep(f.For)
		b.Kill()
		if err := b.lose(); err != nil {
			return kind, err
		}
		if err := copyDir(old, b.state()); err != nil {
			return kind, err
		}
		return kind, b.Start()
	case Full:
		if err := b.fill(true); err != nil {
			return kind, err
		}
		time.Sleep(f.For)
		return kind, b.fill(false)
	case Twin:
		return kind, s.twin(b, f.For)
	case OneWay:
		s.Net.Set(b.Index, o.Index, cut)
		time.Sleep(f.For)
		s.Net.Set(b.Index, o.Index, heal)
	case Deaf, Mute, Isolate:
		all(kind != Deaf, kind != Mute, cut)
		time.Sleep(f.For)
		all(kind != Deaf, kind != Mute, heal)
	case Split:
		set := func(change func(*Flow)) {
			for i := range n {
				for j := range n {
					if i != j && f.Other>>i&1 != f.Other>>j&1 {
						s.Net.Set(i, j, change)
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
	case Choke:
		all(true, false, func(l *Flow) { l.Rate = 20 << 10 })
		time.Sleep(f.For)
		all(true, false, func(l *Flow) { l.Rate = 0 })
	case Break:
		both(func(f *Flow) { f.Break = true })
	case Refuse:
		both(func(f *Flow) { f.Refuse, f.Break = true, true })
		time.Sleep(f.For)
		both(func(f *Flow) { f.Refuse = false })
	case Flap:
		each := s.cfg.Terms.RenewInterval()
		for end := time.Now().Add(f.For + 4*each); time.Now().Before(end); {
			all(true, true, cut)
			time.Sleep(each)
			all(true, true, heal)
			time.Sleep(each)
		}
	case Wall: // nobody starts it anew in between: what it counts from then on would be off for good
		if err := replaceFile(b.wall(), fmt.Sprint(time.Duration(o.Index-b.Index)*time.Hour)); err != nil {
			return kind, err
		}
		time.Sleep(f.For)
		return kind, os.Remove(b.wall())
	case Key:
		if !s.keying.TryLock() {
			return "", nil
		}
		defer s.keying.Unlock()
		return kind, s.changeKey(f.For)
	case Cold, All:
		return kind, s.together(kind, f)
	}
	return kind, nil
}

// changeKey changes the fleet's key as the operators' page has it: both keys on all boxes, then the new one alone. After each
// box its links are cut, so that it dials and is dialed by boxes that stand at another step.
func (s *Site) changeKey(span time.Duration) error {
	old := s.key
	s.key = newKey()
	for _, keys := range []string{old + s.key, s.key} {
		for _, b := range s.Boxes {
			if err := replaceFile(b.keyFile(), keys); err != nil {
				return err
			}
			for _, o := range s.Boxes {
				if o != b {
					s.Net.Set(b.Index, o.Index, func(f *Flow) { f.Break = true })
					s.Net.Set(o.Index, b.Index, func(f *Flow) { f.Break = true })
				}
			}
			time.Sleep(span / time.Duration(2*len(s.Boxes)))
		}
	}
	return nil
}

// replaceFile puts a file with a text in the place of what was there, never half.
func replaceFile(path, text string) error {
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// together kills many at once. In Cold all that may lose their disks do, a majority of voters is left alone.
func (s *Site) together(kind Kind, f Fault) error {
	var wait sync.WaitGroup
	errs := make(chan error, len(s.Boxes))
	spared := 0
	for _, b := range s.Boxes {
		empty := false
		if kind == Cold {
			lossy.Lock()
			empty = s.mayLose(b)
			lossy.Unlock()
			if !empty {
				spared++
				continue
			}
		}
		if !b.take() {
			continue
		}
		wait.Go(func() {
			defer b.done()
			b.Kill()
			// They come back in an order of its own, and all within the span.
			time.Sleep(f.For * time.Duration((b.Index*7+f.Other)%len(s.Boxes)) / time.Duration(len(s.Boxes)))
			if empty {
				if err := b.lose(); err != nil {
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

// twin starts a copy of a box's folder beside it, under the same name. The later one is the box then, and the first one is told
// so; at the end the twin is killed and the first one started anew, as an operator would.
func (s *Site) twin(b *Box, span time.Duration) error {
	dir := filepath.Join(b.dir, fmt.Sprintf("twin-%d", time.Now().UnixNano()))
	addrs, err := FreeAddrs(2)
	if err != nil {
		return err
	}
	if err := b.configure(dir, addrs[0], addrs[1]); err != nil {
		return err
	}
	b.stop(true)
	err = copyDir(b.state(), filepath.Join(dir, "state"))
	b.stop(false)
	if err != nil {
		return err
	}
	cmd := s.cfg.Serve(filepath.Join(dir, "a.hcl"))
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

// Harm kills a box and starts it anew after a span, or stops it for so long. It does not wait, and does nothing, with false, while
// another fault is under way at the box.
func (b *Box) Harm(kill bool, span time.Duration) bool {
	if !b.take() {
		return false
	}
	b.site.happened(b.Index, "harmed for %v, killed: %v", span, kill)
	if !kill {
		b.stop(true)
	} else {
		b.Kill()
	}
	b.site.harms.Go(func() {
		defer b.done()
		time.Sleep(span)
		if !kill {
			b.stop(false)
		} else if err := b.Start(); err != nil {
			b.site.happened(b.Index, "it does not start: %v", err)
		}
	})
	return true
}
