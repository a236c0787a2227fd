package rig

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cairnlane/internal/standin/engine"
	"cairnlane/internal/standin/router"
)

// Load has routers send requests to replicas without pause, a third of them keyed and some of those several times over, and
// counts what the rules forbid.
type Load struct {
	Seed    uint64
	Routers []*router.Router
	Limit   time.Duration // of a request
	Pause   time.Duration // between two requests of a router, on average
	Spread  bool          // repeats go over other routers; else a router stands for a replica of its own
	Traffic Traffic       // what the requests are
	// Excused tells whether what a router had open from then until now is lost with a process that was killed or stopped.
	Excused func(router int, began time.Time) bool
	Engines func() []*engine.Engine

	Tally
	txns   atomic.Uint64
	bodies sync.Map        // of keyed requests: *keyed
	slots  []chan struct{} // by router: a replica that stands still holds up no other one's requests
	stop   atomic.Bool
	wait   sync.WaitGroup
	mu     sync.Mutex
	notes  []string
}

// Tally is what came of a load.
type Tally struct {
	Requests, Killed             int64
	Served, Refused, Failed      int64
	Lost, EndedTwice, Wrong      int64
	TurnedBack, Late, DoubleRuns int64
	Repeats, RepeatsServed       int64
}

// answerRest is the slack of the rules on sockets.
const answerRest = 110 * time.Millisecond

const openMost = 48 // requests at a time, of a router or, if spread, of four

// Begin starts it.
func (l *Load) Begin() {
	shared := make(chan struct{}, openMost*max(1, len(l.Routers)/4))
	for i, r := range l.Routers {
		slots := shared
		if !l.Spread {
			slots = make(chan struct{}, openMost)
		}
		l.slots = append(l.slots, slots)
		r.Number = i
		r.Twice = func(seq int32) {
			atomic.AddInt64(&l.EndedTwice, 1)
			l.Note("an answer to call %d that nobody waits for", seq)
		}
	}
	for i := range l.Routers {
		l.wait.Go(func() { l.send(i) })
	}
}

// Note keeps what a reader of the figures should know.
func (l *Load) Note(format string, a ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.notes) < 20 {
		l.notes = append(l.notes, fmt.Sprintf(format, a...))
	}
}

// Notes are those that were kept.
func (l *Load) Notes() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.notes
}

// End stops it, waits until every request has ended and counts the runs of every keyed one.
func (l *Load) End() {
	if l.stop.Swap(true) {
		return
	}
	l.wait.Wait()
	for _, r := range l.Routers {
		r.Close()
	}
	l.bodies.Range(func(body, whole any) bool {
		var runs []engine.Run
		for _, e := range l.Engines() {
			runs = append(runs, e.Runs(body.(string))...)
		}
		if k := whole.(*keyed); len(runs) > 1 && !k.lost.Load() {
			l.DoubleRuns++
			l.Note("%s ran %d times: %s", body, len(runs), k.story(runs))
		}
		return true
	})
}

func (l *Load) send(i int) {
	src := rand.New(rand.NewPCG(l.Seed, uint64(10+i)))
	var open sync.WaitGroup
	for saves := 0; !l.stop.Load(); {
		q := router.Request{Class: l.Traffic.Safe, Tenant: l.Traffic.Tenant, Limit: l.Limit}
		tries, repeats := 1, time.Duration(0)
		if third := src.IntN(3) == 0; len(l.Traffic.Keyed) > 0 && (third || q.Class == "") {
			class := l.Traffic.Keyed[saves%len(l.Traffic.Keyed)]
			saves++
			q.Class, q.Unique, repeats = class.Name, fmt.Sprintf("%032x", l.txns.Add(1)), class.Window/2
			if src.IntN(2) == 0 {
				tries += 1 + src.IntN(2)
			}
		}
		q.Body = fmt.Sprintf("body %d of router %d", l.txns.Add(1), i)
		if q.Unique != "" {
			l.bodies.Store(q.Body, new(keyed))
		}
		first := time.Now()
		for n := range tries {
			q.Retry = n > 0
			to, step := i, n*(1+src.IntN(3))
			if l.Spread {
				to = (i + step) % len(l.Routers)
			}
			l.try(to, q, first, repeats, &open)
			if n+1 < tries && src.IntN(2) == 0 {
				time.Sleep(time.Duration(src.IntN(40)) * time.Millisecond)
			}
		}
		time.Sleep(time.Duration(src.ExpFloat64() * float64(l.Pause)))
	}
	open.Wait()
}

// try sends one try. A further one of a key that had to wait for longer than repeats since the first is not sent: the replica may not have
// the key any more.
func (l *Load) try(to int, q router.Request, first time.Time, repeats time.Duration, open *sync.WaitGroup) {
	q.Txn = fmt.Sprintf("%016x", l.txns.Add(1))
	l.slots[to] <- struct{}{}
	if q.Retry && time.Since(first) > repeats {
		<-l.slots[to]
		return
	}
	open.Add(1)
	atomic.AddInt64(&l.Requests, 1)
	if q.Retry {
		atomic.AddInt64(&l.Repeats, 1)
	}
	began := time.Now()
	var ends atomic.Int64
	l.Routers[to].Send(q, func(o router.Outcome) {
		if ends.Add(1) > 1 {
			atomic.AddInt64(&l.EndedTwice, 1)
			return
		}
		l.judge(to, q, o, began, first)
		<-l.slots[to]
		open.Done()
	})
}

// keyed is what became of a keyed request, over all of its tries.
type keyed struct {
	lost  atomic.Bool // with a process that was killed or stopped
	mu    sync.Mutex
	tries []string
}

const storyTime = "05.000"

func (l *Load) keyed(q router.Request) *keyed {
	k, _ := l.bodies.Load(q.Body)
	return k.(*keyed)
}

func (k *keyed) try(s string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.tries = append(k.tries, s)
}

func (k *keyed) story(runs []engine.Run) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := strings.Join(k.tries, "; ")
	for _, r := range runs {
		s += fmt.Sprintf("; run %s at %s", r.ID, r.At.Format(storyTime))
	}
	return s
}

// judge counts the outcome of a try. What was open when a process was killed is counted apart.
func (l *Load) judge(to int, q router.Request, o router.Outcome, began, first time.Time) {
	excused := l.Excused(to, began)
	if q.Unique != "" && !l.Spread && l.Excused(to, first) {
		l.keyed(q).lost.Store(true) // the keys were lost with the process, between its tries perhaps
	}
	if q.Unique != "" {
		l.keyed(q).try(fmt.Sprintf("try %s from %s to %s: %v", q.Txn, began.Format(storyTime), time.Now().Format(storyTime), o.End))
	}
	if o.Took > q.Limit+answerRest && !excused {
		atomic.AddInt64(&l.Late, 1)
		l.Note("%s %s answered after %v", q.Class, q.Txn, o.Took)
	}
	switch o.End {
	case router.Served:
		atomic.AddInt64(&l.Served, 1)
		if q.Retry {
			atomic.AddInt64(&l.RepeatsServed, 1)
		}
		if o.Body != "did "+q.Body {
			atomic.AddInt64(&l.Wrong, 1)
			l.Note("%s got %q", q.Body, o.Body)
		}
	case router.Refused:
		atomic.AddInt64(&l.Refused, 1)
	case router.Failed:
		atomic.AddInt64(&l.Failed, 1)
	default:
		switch {
		case excused:
			atomic.AddInt64(&l.Killed, 1)
		case o.End == router.TurnedBack:
			atomic.AddInt64(&l.TurnedBack, 1)
			l.Note("%s was turned back", q.Txn)
		default:
			atomic.AddInt64(&l.Lost, 1)
			l.Note("%s %s was lost after %v", q.Class, q.Txn, o.Took)
		}
	}
}
