package policy

// This file holds the queues of requests in the order of a time, and their bounds: a queue holds entries in
// proportion to the requests that wait in it, however many have come and gone meanwhile.

import (
	"container/heap"
	"slices"
	"time"
)

// pruneSlack is the number of outdated entries that a queue may hold beyond as many as are still needed.
const pruneSlack = 64

type entry struct {
	at  time.Duration
	req *request
}

// queue is a min-heap ordered by time; it implements heap.Interface.
type queue []entry

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q queue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)        { *q = append(*q, x.(entry)) }

func (q *queue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = entry{}
	*q = (*q)[:last]
	return e
}

// prune removes the entries that outdated selects, once they are at least as many as the needed ones and
// pruneSlack more. needed is an upper bound on the entries that are not outdated.
func (q *queue) prune(needed int, outdated func(entry) bool) {
	if len(*q) <= 2*needed+pruneSlack {
		return
	}
	*q = slices.DeleteFunc(*q, outdated)
	heap.Init(q)
}

// pruneQueues bounds the queues by the requests and keys that are held. Requests that have ended are removed
// from the queues here, as their entries may lie anywhere.
func (c *Controller) pruneQueues() {
	// A request is due at its aim and at the end of its caller's wait.
	c.dueQueue.prune(2*len(c.live), func(e entry) bool { return e.req.ended })
	c.waitQueue.prune(c.count[queued], func(e entry) bool { return e.req.ended || e.req.state != queued })
	awaitsNoCall := func(e entry) bool { return e.req.ended || e.req.state != awaitingCall }
	c.callQueue.prune(c.count[awaitingCall], awaitsNoCall)
	c.callRetries.prune(c.count[awaitingCall], awaitsNoCall)
	c.keyExpiries.prune(len(c.keys), func(e entry) bool { return !c.keys[e.req.ID] })
	if len(c.openCalls) > 2*c.count[calling]+pruneSlack {
		c.openCalls = slices.DeleteFunc(c.openCalls, func(e entry) bool { return !e.isOpenCall() })
	}
}

// isOpenCall reports whether the entry of a call stands for the latest attempt at it, and that is still open.
func (e entry) isOpenCall() bool {
	return e.req.state == calling && !e.req.ended && e.req.callStartedAt == e.at
}
