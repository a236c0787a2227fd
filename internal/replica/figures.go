package replica

import (
	"math"
	"sync/atomic"

	"cairnlane/policy"
)

// requestFigures are the request counts shown to operators. They are atomics outside the replica's lock, so that
// reading them never blocks. A request is counted in open when it is accepted, and moves from there to the one
// outcome of its answer in the step that commits the answer. Outcomes and open therefore always add up to the
// accepted requests, except for one that is being moved.
//
// Counting rules: a repeat that is answered from a key counts by its answer, and not as a run. A rejection at read
// counts as a rejection. A run counts once, even if its request already has its answer or the run is sent again
// after a link loss. Malformed requests are not counted here (see counter requests_malformed). A request that its
// caller has abandoned counts by the answer that it still gets.
type requestFigures struct {
	names           []string
	outcomes        [][kindCount]atomic.Int64
	runs            atomic.Int64                     // runs that were sent to the engine
	open            atomic.Int64                     // requests that have no answer yet
	fleetRejections [][fleetReasonCount]atomic.Int64 // rejections that follow the fleet's advice, by class and reason
	lateByClass     []atomic.Int64                   // served after the aim, by class
	firstAttempts   []atomic.Int64                   // accepted first attempts, by class
	firstByTenant   map[string]*atomic.Int64         // accepted first attempts, by tenant
	// wantedByClass and wantedByTenant estimate the first attempts that callers would send if they held nothing
	// back, in units of 1/wantedUnit.
	wantedByClass  []atomic.Int64
	wantedByTenant map[string]*atomic.Int64
	coreDemand     atomic.Uint64 // recent demand for cores as a share of them, as float64 bits
}

func newRequestFigures(classes []policy.Class, tenants []string) *requestFigures {
	n := len(classes)
	f := &requestFigures{outcomes: make([][kindCount]atomic.Int64, n), fleetRejections: make([][fleetReasonCount]atomic.Int64, n), lateByClass: make([]atomic.Int64, n), firstAttempts: make([]atomic.Int64, n), firstByTenant: make(map[string]*atomic.Int64, len(tenants)),
		wantedByClass: make([]atomic.Int64, n), wantedByTenant: make(map[string]*atomic.Int64, len(tenants))}
	for _, t := range tenants {
		f.firstByTenant[t], f.wantedByTenant[t] = new(atomic.Int64), new(atomic.Int64)
	}
	for _, c := range classes {
		f.names = append(f.names, c.Name)
	}
	return f
}

// countAccepted counts an accepted request.
func (f *requestFigures) countAccepted(req *request) {
	f.open.Add(1)
	if req.Retry {
		return
	}
	f.firstAttempts[req.classIndex].Add(1)
	if t := f.firstByTenant[req.Tenant]; t != nil {
		t.Add(1)
	}
}

const wantedUnit = 1024

// countWanted counts a first attempt with a weight that accounts for the attempts that callers hold back because
// their rank is below floor. Ranks are evenly distributed, so the attempts sent are the share 1 - floor of those
// wanted.
func (f *requestFigures) countWanted(req *request, floor float64) {
	if req.Retry || req.Rank < floor {
		return
	}
	n := int64(wantedUnit / (1 - min(floor, maxFloor)))
	f.wantedByClass[req.classIndex].Add(n)
	if t := f.wantedByTenant[req.Tenant]; t != nil {
		t.Add(n)
	}
}

// maxFloor limits the weight of one request in countWanted.
const maxFloor = 0.9

// recordDemand adds a reading of the demand for cores, as a share of them, to a moving average over about 30
// readings. It must not be called concurrently.
func (f *requestFigures) recordDemand(share float64) {
	was := math.Float64frombits(f.coreDemand.Load())
	f.coreDemand.Store(math.Float64bits(was + (min(share, 1)-was)/demandReadings))
}

const demandReadings = 32

// The reasons in the fleet's advice for which a request may be rejected.
const (
	reasonOverShare = iota
	reasonLowClass
	reasonOverBudget
	fleetReasonCount
)

func (f *requestFigures) countAnswer(class int, k Kind) {
	f.outcomes[class][k].Add(1)
	f.open.Add(-1)
}

// ClassFigures are the request counts of one class since the start of the process.
type ClassFigures struct {
	Name                                                    string
	Served, Rejected, Failed                                int64
	Late                                                    int64 // served after the aim
	RejectedOverShare, RejectedLowClass, RejectedOverBudget int64 // of Rejected, by the reason in the fleet's advice: tenant over its share, low class, over the retry budget
	FirstAttempts                                           int64 // accepted first attempts
	Wanted                                                  int64 // estimated first attempts if callers held nothing back; counted while a fleet advises
}

// Figures are the request counts and the demand for cores shown to operators.
type Figures struct {
	Classes            []ClassFigures
	Runs               int64            // runs that were sent to the engine
	Open               int64            // accepted requests that have no answer yet
	Attempts           int64            // accepted attempts
	Retries            int64            // accepted attempts that were marked as retries
	RejectedOverBudget int64            // rejected because they exceeded the fleet's retry budget
	FirstByTenant      map[string]int64 // accepted first attempts, by tenant
	WantedByTenant     map[string]int64 // estimated first attempts by tenant if callers held nothing back; counted while a fleet advises
	CoreDemand         float64          // recent demand for cores as a share of them, 0 to 1
}

// Figures returns the current figures without taking a lock.
func (r *Replica) Figures() Figures {
	f := Figures{Runs: r.figures.runs.Load(), Open: r.figures.open.Load(),
		Attempts: r.count.read.Load(), Retries: r.count.retries.Load(), RejectedOverBudget: r.count.overBudget.Load(), FirstByTenant: make(map[string]int64, len(r.figures.firstByTenant)), CoreDemand: math.Float64frombits(r.figures.coreDemand.Load())}
	f.WantedByTenant = make(map[string]int64, len(r.figures.wantedByTenant))
	for name, n := range r.figures.firstByTenant {
		f.FirstByTenant[name], f.WantedByTenant[name] = n.Load(), r.figures.wantedByTenant[name].Load()/wantedUnit
	}
	for i, name := range r.figures.names {
		e := &r.figures.outcomes[i]
		f.Classes = append(f.Classes, ClassFigures{Name: name, Served: e[Served].Load(), Rejected: e[Rejected].Load(), Failed: e[Failed].Load(), Late: r.figures.lateByClass[i].Load(),
			RejectedOverShare: r.figures.fleetRejections[i][reasonOverShare].Load(), RejectedLowClass: r.figures.fleetRejections[i][reasonLowClass].Load(), RejectedOverBudget: r.figures.fleetRejections[i][reasonOverBudget].Load(), FirstAttempts: r.figures.firstAttempts[i].Load(), Wanted: r.figures.wantedByClass[i].Load() / wantedUnit})
	}
	return f
}
