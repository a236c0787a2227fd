package rig

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cairnlane/internal/fake/engine"
	"cairnlane/internal/fake/router"
)

// Load sends requests from routers to replicas until it is stopped and counts violations of the invariants. A third of the requests
// are keyed (all of them if the settings have no safe class), and some of those are sent several times.
type Load struct {
	Seed                uint64
	Routers             []*router.Router
	Timeout             time.Duration // the time limit of a request
	MeanInterval        time.Duration // the mean time between two requests of a router
	RetryOnOtherRouters bool          // retries go through other routers; otherwise each router belongs to one replica
	Traffic             Traffic       // the tenant and the classes of the requests
	// Excused reports whether the router's replica was killed or stopped after began, so that requests open since then may be lost.
	Excused func(router int, began time.Time) bool
	Engines func() []*engine.Engine

	Tally
	lastID        atomic.Uint64   // the source of transaction ids, idempotency keys and numbers of bodies
	keyedRequests sync.Map        // body to *keyedRequest
	slots         []chan struct{} // by router, so that a stalled replica does not block requests to the others
	stop          atomic.Bool
	senders       sync.WaitGroup
	mu            sync.Mutex
	notes         []string
}

// Tally counts the outcomes of a load.
type Tally struct {
	Requests, Killed                    int64
	Served, Rejected, Failed            int64
	Lost, EndedTwice, Wrong             int64
	ConnectionRefused, Late, DoubleRuns int64
	Retries, RetriesServed              int64
}

// answerSlack is how much later than its limit a request may be answered, to allow for the delay on sockets.
const answerSlack = 110 * time.Millisecond

const maxOpen = 48 // open requests of a router or, with RetryOnOtherRouters, of four routers together

// Start starts the load.
func (l *Load) Start() {
	shared := make(chan struct{}, maxOpen*max(1, len(l.Routers)/4))
	for i, r := range l.Routers {
		slots := shared
		if !l.RetryOnOtherRouters {
			slots = make(chan struct{}, maxOpen)
		}
		l.slots = append(l.slots, slots)
		r.Number = i
		r.OnUnexpectedReply = func(seq int32) {
			atomic.AddInt64(&l.EndedTwice, 1)
			l.AddNote("call %d was answered although no request waits for it", seq)
		}
	}
	for i := range l.Routers {
		l.senders.Go(func() { l.sendRequests(i) })
	}
}

// AddNote records a message that is reported with the figures. It keeps the first 20 messages.
func (l *Load) AddNote(format string, a ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.notes) < 20 {
		l.notes = append(l.notes, fmt.Sprintf(format, a...))
	}
}

// Notes returns the recorded messages.
func (l *Load) Notes() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.notes
}

// Stop stops the load, waits for the outcome of every request and checks that no keyed request ran more than once.
func (l *Load) Stop() {
	if l.stop.Swap(true) {
		return
	}
	l.senders.Wait()
	for _, r := range l.Routers {
		r.Close()
	}
	l.keyedRequests.Range(func(body, value any) bool {
		var runs []engine.Run
		for _, e := range l.Engines() {
			runs = append(runs, e.Runs(body.(string))...)
		}
		if k := value.(*keyedRequest); len(runs) > 1 && !k.lost.Load() {
			l.DoubleRuns++
			l.AddNote("%s ran %d times: %s", body, len(runs), k.describe(runs))
		}
		return true
	})
}

func (l *Load) sendRequests(i int) {
	random := rand.New(rand.NewPCG(l.Seed, uint64(10+i)))
	var outstanding sync.WaitGroup
	for keyedSent := 0; !l.stop.Load(); {
		request := router.Request{Class: l.Traffic.Safe, Tenant: l.Traffic.Tenant, TimeLimit: l.Timeout}
		attempts, retryWindow := 1, time.Duration(0)
		if third := random.IntN(3) == 0; len(l.Traffic.Keyed) > 0 && (third || request.Class == "") {
			class := l.Traffic.Keyed[keyedSent%len(l.Traffic.Keyed)]
			keyedSent++
			request.Class, request.IdempotencyKey, retryWindow = class.Name, fmt.Sprintf("%032x", l.lastID.Add(1)), class.Window/2
			if random.IntN(2) == 0 {
				attempts += 1 + random.IntN(2)
			}
		}
		request.Body = fmt.Sprintf("body %d of router %d", l.lastID.Add(1), i)
		if request.IdempotencyKey != "" {
			l.keyedRequests.Store(request.Body, new(keyedRequest))
		}
		firstAt := time.Now()
		for n := range attempts {
			request.Retry = n > 0
			to, step := i, n*(1+random.IntN(3))
			if l.RetryOnOtherRouters {
				to = (i + step) % len(l.Routers)
			}
			l.attempt(to, request, firstAt, retryWindow, &outstanding)
			if n+1 < attempts && random.IntN(2) == 0 {
				time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
			}
		}
		time.Sleep(time.Duration(random.ExpFloat64() * float64(l.MeanInterval)))
	}
	outstanding.Wait()
}

// attempt sends one attempt of a request. A retry that had to wait until more than retryWindow after the first attempt is not sent,
// because the replica may have deleted the key.
func (l *Load) attempt(to int, request router.Request, firstAt time.Time, retryWindow time.Duration, outstanding *sync.WaitGroup) {
	request.Txn = fmt.Sprintf("%016x", l.lastID.Add(1))
	l.slots[to] <- struct{}{}
	if request.Retry && time.Since(firstAt) > retryWindow {
		<-l.slots[to]
		return
	}
	outstanding.Add(1)
	atomic.AddInt64(&l.Requests, 1)
	if request.Retry {
		atomic.AddInt64(&l.Retries, 1)
	}
	began := time.Now()
	var outcomes atomic.Int64
	l.Routers[to].Send(request, func(outcome router.Outcome) {
		if outcomes.Add(1) > 1 {
			atomic.AddInt64(&l.EndedTwice, 1)
			return
		}
		l.recordOutcome(to, request, outcome, began, firstAt)
		<-l.slots[to]
		outstanding.Done()
	})
}

// keyedRequest records the outcomes of all attempts of a keyed request.
type keyedRequest struct {
	lost     atomic.Bool // its key may be lost because a process was killed or stopped
	mu       sync.Mutex
	attempts []string
}

const clockLayout = "05.000"

func (l *Load) keyedRequestOf(request router.Request) *keyedRequest {
	k, _ := l.keyedRequests.Load(request.Body)
	return k.(*keyedRequest)
}

func (k *keyedRequest) addAttempt(s string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.attempts = append(k.attempts, s)
}

func (k *keyedRequest) describe(runs []engine.Run) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := strings.Join(k.attempts, "; ")
	for _, r := range runs {
		s += fmt.Sprintf("; run %s at %s", r.ID, r.At.Format(clockLayout))
	}
	return s
}

// recordOutcome counts the outcome of an attempt. Attempts that were open when their replica was killed are counted separately.
func (l *Load) recordOutcome(to int, request router.Request, outcome router.Outcome, began, firstAt time.Time) {
	excused := l.Excused(to, began)
	if request.IdempotencyKey != "" && !l.RetryOnOtherRouters && l.Excused(to, firstAt) {
		l.keyedRequestOf(request).lost.Store(true) // the process may have been killed between two attempts, and its keys are lost then
	}
	if request.IdempotencyKey != "" {
		l.keyedRequestOf(request).addAttempt(fmt.Sprintf("attempt %s from %s to %s: %v", request.Txn, began.Format(clockLayout), time.Now().Format(clockLayout), outcome.Kind))
	}
	if outcome.Took > request.TimeLimit+answerSlack && !excused {
		atomic.AddInt64(&l.Late, 1)
		l.AddNote("%s %s answered after %v", request.Class, request.Txn, outcome.Took)
	}
	switch outcome.Kind {
	case router.Served:
		atomic.AddInt64(&l.Served, 1)
		if request.Retry {
			atomic.AddInt64(&l.RetriesServed, 1)
		}
		if outcome.Body != "did "+request.Body {
			atomic.AddInt64(&l.Wrong, 1)
			l.AddNote("request %q was answered with %q", request.Body, outcome.Body)
		}
	case router.Rejected:
		atomic.AddInt64(&l.Rejected, 1)
	case router.Failed:
		atomic.AddInt64(&l.Failed, 1)
	default:
		switch {
		case excused:
			atomic.AddInt64(&l.Killed, 1)
		case outcome.Kind == router.NotAccepted:
			atomic.AddInt64(&l.ConnectionRefused, 1)
			l.AddNote("%s was not sent: the connection was refused", request.Txn)
		default:
			atomic.AddInt64(&l.Lost, 1)
			l.AddNote("%s %s was lost after %v", request.Class, request.Txn, outcome.Took)
		}
	}
}
