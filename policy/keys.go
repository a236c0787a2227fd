package policy

// This file handles idempotency keys and the requests that repeat them.

import "container/heap"

// Parameters of the key store.
const (
	keyShare = 0.4 // largest share of the memory that stored keys may take
)

// forgetKey deletes the stored key of r, if there is one.
func (c *Controller) forgetKey(r *request) {
	if r.keyStored {
		c.host.DeleteKey(r.ID)
		delete(c.keys, r.ID)
	}
}

// keyCost returns the memory in KB of the key of r, or 0 if its key is not stored.
func (c *Controller) keyCost(r *request) float64 {
	if r.class.Semantics == Keyed || c.cfg.AnswerReuseTime > 0 && r.Key != "" && r.class.Semantics == Safe {
		return c.cfg.KeyKB
	}
	return 0
}

// storeKey stores the key of a request as soon as it is queued: a repeat may arrive at any time, and two
// attempts that are not linked could both run. The window begins at the request's arrival at the machine.
func (c *Controller) storeKey(r *request) {
	if c.keyCost(r) == 0 {
		return
	}
	ttl := r.arrived + r.class.DedupWindow + c.tickInterval - c.now
	if r.class.Semantics == Safe {
		ttl = c.beforeStop(r.dueAt) + c.cfg.AnswerReuseTime - c.now
	}
	r.keyStored = true
	c.keys[r.ID] = true
	heap.Push(&c.keyExpiries, entry{c.now + ttl, r})
	c.host.StoreKey(r.ID, ttl)
}

// join answers a repeat with the outcome of the request that it repeats. A repeat never runs. It is never
// rejected, but fails if there is no memory for it.
func (c *Controller) join(r *request) {
	c.setState(r, joined)
	if c.memoryUsed > c.memoryLimit() {
		c.fail(r)
		c.remove(r)
		return
	}
	c.host.Reuse(r.ID)
}

// expireKeys frees the memory of keys whose window has ended.
func (c *Controller) expireKeys() {
	for len(c.keyExpiries) > 0 && c.keyExpiries[0].at+c.tickInterval < c.now {
		delete(c.keys, heap.Pop(&c.keyExpiries).(entry).req.ID)
	}
}
