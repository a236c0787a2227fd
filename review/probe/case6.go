package main

import (
	"fmt"
	"syscall"
	"time"

	"cairnlane/internal/fake/engine"
)

// Times of the pages.
const (
	readyTime = 6 * time.Second                           // which a new process is given to say yes
	killTime  = 3*time.Second + 700*time.Millisecond      // from SIGTERM to SIGKILL in a replacement
	runTime   = 200 * time.Millisecond                    // of a save
	silence   = 3 * time.Second                           // for which the first process is silent before it is killed
	waitLimit = 3200 * time.Millisecond                   // how long a router waits for a try
	slack     = 60*time.Millisecond + 50*time.Millisecond // of the answer
)

// doubtIsNotHandedOn plays two replacements in a row. The first process falls silent and is killed while the second one stands
// beside it, so that the second one does not know which saves have run. Then a third process replaces the second one. Further
// tries of a save that ran in the first process arrive all the time, within the window.
func doubtIsNotHandedOn(log *record, trouble bool) error {
	s, err := readSite()
	if err != nil {
		return err
	}
	e := engine.New(func(string) time.Duration { return runTime })
	b, err := newBox("n3", log, s.settings, true, e)
	if err != nil {
		return err
	}
	defer b.close()
	first, err := b.start("first")
	if err != nil {
		return err
	}
	if !b.awaitReady(first, 30*time.Second) {
		return fmt.Errorf("the first process is not ready")
	}
	time.Sleep(time.Second)

	save := try{class: s.keyed, tenant: s.tenants[0], key: newKey(), body: "the note", limit: waitLimit}
	door := time.Now()
	send := func(n int) answer {
		t := save
		t.id, t.further = newID(), n > 1
		a := ask(b.listen, t, t.limit+slack)
		log.printf("try %d of the save, id %s, %.3f s after the first: %s %q", n, t.id, time.Since(door).Seconds(), a.kind, a.body)
		return a
	}
	if a := send(1); a.kind != "served" {
		return fmt.Errorf("the first try was not served but %s", a.kind)
	}

	if trouble {
		log.printf("the first process falls silent (SIGSTOP)")
		if err := first.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
	}
	second, err := b.start("second")
	if err != nil {
		return err
	}
	if trouble {
		time.Sleep(silence)
		log.printf("the first process is killed (SIGKILL), after %v of silence", silence)
		first.Kill()
		first.address.Close()
	}
	if !b.awaitReady(second, readyTime) {
		return fmt.Errorf("the second process is not ready in time")
	}
	if !trouble && !handOver(b, first) {
		return fmt.Errorf("the first process did not end")
	}
	n := 2
	send(n)

	third, err := b.start("third")
	if err != nil {
		return err
	}
	if !b.awaitReady(third, readyTime) {
		return fmt.Errorf("the third process is not ready in time")
	}
	for range 3 {
		n++
		send(n)
		time.Sleep(50 * time.Millisecond)
	}
	if !handOver(b, second) {
		return fmt.Errorf("the second process did not end")
	}
	for time.Since(door) < s.window-200*time.Millisecond && n < 9 {
		n++
		send(n)
		time.Sleep(200 * time.Millisecond)
	}
	runs := e.Runs(save.body)
	for i, r := range runs {
		log.printf("run %d of the save: id %s, %.3f s after the first try", i+1, r.ID, r.At.Sub(door).Seconds())
	}
	if len(runs) > 1 {
		return fmt.Errorf("%w: the save ran %d times, the last one %.3f s after the first try", errBroken, len(runs), runs[len(runs)-1].At.Sub(door).Seconds())
	}
	return nil
}

// handOver sends SIGTERM to the older process of a replacement, and SIGKILL when its time is over.
func handOver(b *box, old *replica) bool {
	b.log.printf("process %s receives SIGTERM", old.label)
	if err := old.Signal(syscall.SIGTERM); err != nil {
		return false
	}
	if b.awaitEnd(old, killTime) {
		return true
	}
	b.log.printf("process %s receives SIGKILL", old.label)
	old.Kill()
	return true
}
