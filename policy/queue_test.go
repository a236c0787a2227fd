package policy

import (
	"testing"
	"time"
)

// TestQueuesAreBoundedByWhatIsHeld guards against memory that grows with the rate of requests times their wait: the queues
// kept an entry for each request until it would have been due, also for those that had ended at once (review/7).
func TestQueuesAreBoundedByWhatIsHeld(t *testing.T) {
	const arrivals = 20000 // all within a second, before any of them is due
	at := func(i int) time.Duration { return time.Second * time.Duration(i) / arrivals }
	request := func(i, class int) Request {
		return Request{ID: RequestID(i), Class: class, Caller: i, KB: 1, Due: at(i) + 5*time.Second}
	}
	ends := map[string]func(c *Controller, i int){
		"rejected on arrival": func(c *Controller, i int) {
			c.draining, c.drainAt = true, -time.Hour
			c.Arrive(at(i), request(i, i%2))
		},
		"given up while queued": func(c *Controller, i int) {
			c.runLimit = 0
			c.Arrive(at(i), request(i, i%2))
			c.CallerGone(at(i), RequestID(i))
		},
		"rejected by the engine": func(c *Controller, i int) {
			c.Arrive(at(i), request(i, i%2))
			c.Done(at(i), RequestID(i), Rejected, 0)
		},
		"repeat that is answered at once": func(c *Controller, i int) {
			q := request(i, 1)
			if i > 1 {
				q.RepeatOf = 1
			}
			c.Arrive(at(i), q)
			if i > 1 {
				c.Done(at(i), RequestID(i), Failed, 0)
			}
		},
		"ended during a call": func(c *Controller, i int) {
			c.Arrive(at(i), request(i, 0))
			c.NeedsCall(at(i), RequestID(i))
			c.CallDone(at(i), RequestID(i), Rejected, 0)
			c.Done(at(i), RequestID(i), Failed, 0)
		},
		"ended after a quick call": func(c *Controller, i int) {
			c.Arrive(at(i), request(i, 0))
			c.NeedsCall(at(i), RequestID(i))
			c.CallDone(at(i), RequestID(i), Succeeded, time.Millisecond)
			c.Done(at(i), RequestID(i), Succeeded, time.Millisecond)
		},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			c, h := startController(t, testConfig())
			for i := 1; i <= arrivals; i++ {
				end(c, i)
				h.takeActions()
			}
			held := len(c.live) + len(c.keys)
			if held > 100 {
				t.Fatalf("%d requests and keys are held, the test expects few", held)
			}
			for queue, n := range map[string]int{"dueQueue": len(c.dueQueue), "waitQueue": len(c.waitQueue), "keyExpiries": len(c.keyExpiries),
				"callQueue": len(c.callQueue), "callRetries": len(c.callRetries), "openCalls": len(c.openCalls)} {
				if bound := 4*held + 2*pruneSlack; n > bound {
					t.Errorf("%s has %d entries while %d requests and keys are held, want at most %d", queue, n, held, bound)
				}
			}
			if n := len(c.callers) + len(c.oldCallers); n > 2*maxCallers {
				t.Errorf("statistics of %d callers, want at most %d", n, 2*maxCallers)
			}
		})
	}
}

// TestPruningKeepsWhatIsNeeded guards against a due answer or a key's window that is lost with outdated entries.
func TestPruningKeepsWhatIsNeeded(t *testing.T) {
	c, h := startController(t, testConfig())
	c.runLimit = 0
	c.Arrive(0, Request{ID: 1, Class: 1, KB: 1, Due: 4 * time.Second})
	wantActions(t, h, "keep 1")
	for i := 2; i < 1000; i++ {
		c.Arrive(time.Duration(i), Request{ID: RequestID(i), Class: 1, KB: 1, Due: 4 * time.Second})
		c.CallerGone(time.Duration(i), RequestID(i))
	}
	h.takeActions()
	c.runLimit = 1
	c.Tick(100*ms, Gauges{})
	wantActions(t, h, "run 1")
	c.Tick(3990*ms, Gauges{})
	wantActions(t, h, "fail 1")
	c.Done(4*time.Second, 1, Succeeded, time.Second)
	if !c.keys[1] {
		t.Error("the key of a run was dropped inside its window")
	}
	c.Tick(c.cfg.Classes[1].DedupWindow+time.Second, Gauges{})
	if c.keys[1] {
		t.Error("the key was kept after its window")
	}
}
