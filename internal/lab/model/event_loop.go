package model

import (
	"container/heap"
	"time"
)

// EventLoop is an event loop in virtual time: it runs events ordered by time, and those of the same time in the order in which they were
// scheduled. It implements replica.Clock.
type EventLoop struct {
	now     time.Duration
	queue   events
	lastSeq uint64
}

type event struct {
	at  time.Duration
	seq uint64
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(a, b int) bool {
	return e[a].at < e[b].at || e[a].at == e[b].at && e[a].seq < e[b].seq
}
func (e events) Swap(a, b int) { e[a], e[b] = e[b], e[a] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	(*e)[len(*e)-1] = event{}
	*e = (*e)[:len(*e)-1]
	return last
}

// Now implements replica.Clock.
func (loop *EventLoop) Now() time.Duration { return loop.now }

// AfterFunc implements replica.Clock.
func (loop *EventLoop) AfterFunc(d time.Duration, f func()) (stop func()) {
	loop.Schedule(loop.now+max(d, 0), func() {
		if f != nil {
			f()
		}
	})
	return func() { f = nil }
}

// Schedule schedules do at a time, or now if the time is past.
func (loop *EventLoop) Schedule(at time.Duration, do func()) {
	loop.lastSeq++
	heap.Push(&loop.queue, event{max(at, loop.now), loop.lastSeq, do})
}

// RunUntil processes all events up to and including until.
func (loop *EventLoop) RunUntil(until time.Duration) {
	for len(loop.queue) > 0 && loop.queue[0].at <= until {
		e := heap.Pop(&loop.queue).(event)
		loop.now = e.at
		e.run()
	}
	loop.now = until
}
