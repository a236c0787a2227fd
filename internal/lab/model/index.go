package model

import (
	"time"

	"cairnlane/internal/replica"
	"cairnlane/policy"
)

// index is the dependency that all boxes of a day call: so many slots, and a queue before them.
type index struct {
	p       *play
	on      int
	waiting []*indexCall
	served  int
}

// indexCall is one call to the index.
type indexCall struct {
	box  *box
	life uint64 // of the box that called
	txn  string
	from time.Duration
	body []byte
	over bool // nobody waits for it any more; if it is on, it goes on to its end
}

// add takes a call, which is given up after its wait.
func (x *index) add(c *indexCall, wait time.Duration) {
	x.p.At(x.p.now+wait, func() { c.end(policy.TimedOut) })
	x.waiting = append(x.waiting, c)
	x.next()
}

// next fills the slots. A call that was given up while it waited never runs.
func (x *index) next() {
	for x.on < x.p.day.Index.Slots && len(x.waiting) > 0 {
		c := x.waiting[0]
		x.waiting = x.waiting[1:]
		if c.over {
			continue
		}
		x.on++
		x.p.At(x.p.now+x.p.day.Index.Takes, func() {
			x.on--
			x.served++
			c.end(policy.Succeeded)
			x.next()
		})
	}
}

// end tells the box how its call has ended, once, unless the box has died.
func (c *indexCall) end(outcome policy.Outcome) {
	if c.over {
		return
	}
	c.over = true
	b := c.box
	if b.dead || b.life != c.life {
		return
	}
	delete(b.calls, c.txn)
	b.rep.CallEnded(c.txn, outcome, b.p.now-c.from, c.body)
}

// indexOf is the index as one process calls it.
type indexOf struct {
	b    *box
	life uint64
}

// Get implements replica.Index.
func (i indexOf) Get(txn string, wait time.Duration, body []byte) {
	i.Stop(txn)
	c := &indexCall{box: i.b, life: i.life, txn: txn, from: i.b.p.now, body: append([]byte(nil), body...)}
	i.b.calls[txn] = c
	p := i.b.p
	p.At(p.now+hop, func() {
		if !c.over {
			p.index.add(c, wait)
		}
	})
}

// Stop implements replica.Index.
func (i indexOf) Stop(txn string) {
	if c := i.b.calls[txn]; c != nil {
		c.over = true
		delete(i.b.calls, txn)
	}
}

// indexFor is what a box's process is given to call; nil at sites without calls.
func (b *box) indexFor() replica.Index {
	if !b.p.day.calls() {
		return nil
	}
	b.calls = map[string]*indexCall{}
	return indexOf{b, b.life}
}

// engineRun is a run that calls the index before it works.
type engineRun struct {
	left   int // calls that it has yet to make
	notice int64
	waits  bool
	begin  func() // its work
}

// callsOf is how many calls a request makes: the mean of its class, rounded up or down by the request's own number.
func (s Site) callsOf(q Request) int {
	mean := s.Classes[q.Class].Calls
	n := int(mean)
	if place(q.N) < mean-float64(n) {
		n++
	}
	return n
}

// need has a run ask for its next call, or begin its work. It happens apart from whatever is on the stack.
func (e engineOf) need(txn string, r *engineRun) {
	b := e.b
	b.p.At(b.p.now, func() {
		switch {
		case b.dead || b.life != e.life:
		case r.left == 0:
			delete(b.waits, txn)
			r.begin()
		default:
			r.left--
			r.waits = true
			b.notice++
			r.notice = b.notice
			b.rep.CallRequested(txn, r.notice, []byte(txn))
		}
	})
}

// went has a run that waits for a call go on; the reply has to be the call's own.
func (e engineOf) went(txn string, reply []byte, skipped bool) {
	r := e.b.waits[txn]
	if r == nil || !r.waits {
		return
	}
	r.waits = false
	if skipped {
		e.b.p.res.Skipped++
	} else if string(reply) != txn {
		e.b.p.broke("the run of %s is fed %q", txn, reply)
	}
	e.need(txn, r)
}

// Feed implements replica.Engine.
func (e engineOf) Feed(txn string, reply []byte) bool {
	e.went(txn, reply, false)
	return true
}

// Skip implements replica.Engine.
func (e engineOf) Skip(txn string, notice int64) bool {
	if r := e.b.waits[txn]; r != nil && r.notice == notice {
		e.went(txn, nil, true)
	}
	return true
}
