package model

import (
	"container/heap"
	"time"
)

// World is virtual time: things happen in their order, and those of one moment in the order in which they were asked for. It implements
// replica.Clock.
type World struct {
	now  time.Duration
	list events
	n    uint64
}

type event struct {
	at time.Duration
	n  uint64
	do func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(a, b int) bool {
	return e[a].at < e[b].at || e[a].at == e[b].at && e[a].n < e[b].n
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
func (w *World) Now() time.Duration { return w.now }

// AfterFunc implements replica.Clock.
func (w *World) AfterFunc(d time.Duration, f func()) { w.At(w.now+max(d, 0), f) }

// At has something happen at a time.
func (w *World) At(at time.Duration, do func()) {
	w.n++
	heap.Push(&w.list, event{max(at, w.now), w.n, do})
}

// Run goes on until a time.
func (w *World) Run(until time.Duration) {
	for len(w.list) > 0 && w.list[0].at <= until {
		e := heap.Pop(&w.list).(event)
		w.now = e.at
		e.do()
	}
	w.now = until
}
