package model

import (
	"time"

	"cairnlane/internal/replica"
	"cairnlane/policy"
)

// index is the dependency that all boxes call: a fixed number of slots with a queue in front of them.
type index struct {
	sim     *simulation
	running int
	waiting []*indexCall
	served  int
}

// indexCall is one call to the index.
type indexCall struct {
	box         *box
	incarnation uint64 // of the calling box
	txn         string
	startedAt   time.Duration
	body        []byte
	ended       bool // no caller waits for it any more; a call that runs still occupies its slot until it is done
}

// add queues a call, which times out after timeout.
func (x *index) add(c *indexCall, timeout time.Duration) {
	x.sim.Schedule(x.sim.now+timeout, func() { c.end(policy.TimedOut) })
	x.waiting = append(x.waiting, c)
	x.startCalls()
}

// startCalls fills the free slots. A call that ended while queued is not run.
func (x *index) startCalls() {
	for x.running < x.sim.scenario.Index.Slots && len(x.waiting) > 0 {
		c := x.waiting[0]
		x.waiting = x.waiting[1:]
		if c.ended {
			continue
		}
		x.running++
		x.sim.Schedule(x.sim.now+x.sim.scenario.Index.CallDuration, func() {
			x.running--
			x.served++
			c.end(policy.Succeeded)
			x.startCalls()
		})
	}
}

// end reports the outcome of a call to its box, once, unless that process has died.
func (c *indexCall) end(outcome policy.Outcome) {
	if c.ended {
		return
	}
	c.ended = true
	b := c.box
	if b.dead || b.incarnation != c.incarnation {
		return
	}
	delete(b.openCalls, c.txn)
	b.rep.CallEnded(c.txn, outcome, b.sim.now-c.startedAt, c.body)
}

// boxIndex implements replica.Index for one process.
type boxIndex struct {
	box         *box
	incarnation uint64
}

// Get implements replica.Index.
func (i boxIndex) Get(txn string, wait time.Duration, body []byte) {
	i.Stop(txn)
	c := &indexCall{box: i.box, incarnation: i.incarnation, txn: txn, startedAt: i.box.sim.now, body: append([]byte(nil), body...)}
	i.box.openCalls[txn] = c
	sim := i.box.sim
	sim.Schedule(sim.now+networkDelay, func() {
		if !c.ended {
			sim.index.add(c, wait)
		}
	})
}

// Stop implements replica.Index.
func (i boxIndex) Stop(txn string) {
	if c := i.box.openCalls[txn]; c != nil {
		c.ended = true
		delete(i.box.openCalls, txn)
	}
}

// newIndex returns the index for a new process of the box, nil at sites without index calls.
func (b *box) newIndex() replica.Index {
	if !b.sim.scenario.callsIndex() {
		return nil
	}
	b.openCalls = map[string]*indexCall{}
	return boxIndex{b, b.incarnation}
}

// engineRun is a run that makes index calls before it does its work.
type engineRun struct {
	callsLeft int // calls not made yet
	notice    int64
	waiting   bool
	startWork func()
}

// callCount returns how many index calls a request makes: the mean of its class, rounded up or down by a hash of the request's number.
func (s Site) callCount(q Request) int {
	mean := s.Classes[q.Class].MeanIndexCalls
	n := int(mean)
	if phaseOf(q.N) < mean-float64(n) {
		n++
	}
	return n
}

// advance makes a run request its next index call or, after the last one, start its work. It does so in an event of its own.
func (e boxEngine) advance(txn string, r *engineRun) {
	b := e.box
	b.sim.Schedule(b.sim.now, func() {
		switch {
		case b.dead || b.incarnation != e.incarnation:
		case r.callsLeft == 0:
			delete(b.waitingRuns, txn)
			r.startWork()
		default:
			r.callsLeft--
			r.waiting = true
			b.lastNotice++
			r.notice = b.lastNotice
			b.rep.CallRequested(txn, r.notice, []byte(txn))
		}
	})
}

// endCall lets a run that waits for a call continue. It records a violation if the reply is not the one to this call.
func (e boxEngine) endCall(txn string, reply []byte, skipped bool) {
	r := e.box.waitingRuns[txn]
	if r == nil || !r.waiting {
		return
	}
	r.waiting = false
	if skipped {
		e.box.sim.result.SkippedCalls++
	} else if string(reply) != txn {
		e.box.sim.recordViolation("run of %s received the index reply %q", txn, reply)
	}
	e.advance(txn, r)
}

// Feed implements replica.Engine.
func (e boxEngine) Feed(txn string, reply []byte) bool {
	e.endCall(txn, reply, false)
	return true
}

// Skip implements replica.Engine.
func (e boxEngine) Skip(txn string, notice int64) bool {
	if r := e.box.waitingRuns[txn]; r != nil && r.notice == notice {
		e.endCall(txn, nil, true)
	}
	return true
}
