package replica

import (
	"math"
	"sync/atomic"

	"cairnlane/policy"
)

// figures are what operators read of the requests, kept apart from the lock: whoever reads them waits for nobody.
// A request is counted in open once it is taken, and moves from there to the one outcome of its answer, in the step
// that commits the answer. So outcomes and open always add up to the requests taken, but for one that is on its way.
//
// What counts where: a repeat that is answered from a key counts by its answer, and as no try; a refusal at read is a
// refusal; a run whose request has its answer already, or is sent again after a break of the link, counts no second
// time; what could not be taken as a request counts nowhere here (counter requests_malformed); a request that its
// caller has given up on counts by the answer that it gets all the same.
type figures struct {
	names []string
	ends  [][kinds]atomic.Int64
	tries atomic.Int64             // runs that were handed to the engine
	open  atomic.Int64             // requests without their answer
	words [][words]atomic.Int64    // refused by the fleet's word, by class
	late  []atomic.Int64           // served after the aim, by class
	first []atomic.Int64           // first tries that were taken, by class
	teams map[string]*atomic.Int64 // and by tenant
	// wanted and wants are first tries as their callers would send them if nothing were held back, in parts of wantedUnit.
	wanted []atomic.Int64
	wants  map[string]*atomic.Int64
	busy   atomic.Uint64 // bits of the share of the cores that was wanted of late
}

func newFigures(classes []policy.Class, tenants []string) *figures {
	n := len(classes)
	f := &figures{ends: make([][kinds]atomic.Int64, n), words: make([][words]atomic.Int64, n), late: make([]atomic.Int64, n), first: make([]atomic.Int64, n), teams: make(map[string]*atomic.Int64, len(tenants)),
		wanted: make([]atomic.Int64, n), wants: make(map[string]*atomic.Int64, len(tenants))}
	for _, t := range tenants {
		f.teams[t], f.wants[t] = new(atomic.Int64), new(atomic.Int64)
	}
	for _, c := range classes {
		f.names = append(f.names, c.Name)
	}
	return f
}

// came counts a request that is taken.
func (f *figures) came(req *request) {
	f.open.Add(1)
	if req.Retry {
		return
	}
	f.first[req.place].Add(1)
	if t := f.teams[req.Tenant]; t != nil {
		t.Add(1)
	}
}

const wantedUnit = 1024

// want counts a first try for all those of its kind that callers hold back below a floor: ranks are even, so of those that are wanted the
// part above it is sent.
func (f *figures) want(req *request, floor float64) {
	if req.Retry || req.Rank < floor {
		return
	}
	n := int64(wantedUnit / (1 - min(floor, floorMost)))
	f.wanted[req.place].Add(n)
	if t := f.wants[req.Tenant]; t != nil {
		t.Add(n)
	}
}

// floorMost bounds what one request stands for.
const floorMost = 0.9

// demand takes a reading of the demand for cores, as a share of them; it is averaged over some 30 readings. One caller at a time.
func (f *figures) demand(share float64) {
	was := math.Float64frombits(f.busy.Load())
	f.busy.Store(math.Float64bits(was + (min(share, 1)-was)/demandReadings))
}

const demandReadings = 32

// The words of the fleet by which a request may be refused.
const (
	wordShare = iota
	wordLow
	wordBeyond
	words
)

func (f *figures) ended(class int, k Kind) {
	f.ends[class][k].Add(1)
	f.open.Add(-1)
}

// ClassFigures are those of one class, from the start of the process on.
type ClassFigures struct {
	Name                    string
	Served, Refused, Failed int64
	Late                    int64 // served after the aim
	Share, Low, Beyond      int64 // of Refused, by the fleet's word: over a share, of a low class, beyond the budget of tries
	First                   int64 // first tries that were taken
	Wanted                  int64 // what they would be if callers held nothing back, while a fleet advises
}

// Figures are what operators read of the requests.
type Figures struct {
	Classes []ClassFigures
	Tries   int64            // runs that were handed to the engine
	Open    int64            // requests that were taken and have not ended
	Read    int64            // tries that were taken
	Further int64            // those of them that were marked as further ones
	Beyond  int64            // refused as they were beyond the fleet's budget of further tries
	Tenants map[string]int64 // first tries that were taken
	Wanted  map[string]int64 // what they would be if callers held nothing back, while a fleet advises
	Busy    float64          // share of the cores that was wanted of late, 0 to 1
}

// Figures reads them. It takes no lock.
func (r *Replica) Figures() Figures {
	f := Figures{Tries: r.figures.tries.Load(), Open: r.figures.open.Load(),
		Read: r.count.read.Load(), Further: r.count.retries.Load(), Beyond: r.count.beyond.Load(), Tenants: make(map[string]int64, len(r.figures.teams)), Busy: math.Float64frombits(r.figures.busy.Load())}
	f.Wanted = make(map[string]int64, len(r.figures.wants))
	for name, n := range r.figures.teams {
		f.Tenants[name], f.Wanted[name] = n.Load(), r.figures.wants[name].Load()/wantedUnit
	}
	for i, name := range r.figures.names {
		e := &r.figures.ends[i]
		f.Classes = append(f.Classes, ClassFigures{Name: name, Served: e[Served].Load(), Refused: e[Refused].Load(), Failed: e[Failed].Load(), Late: r.figures.late[i].Load(),
			Share: r.figures.words[i][wordShare].Load(), Low: r.figures.words[i][wordLow].Load(), Beyond: r.figures.words[i][wordBeyond].Load(), First: r.figures.first[i].Load(), Wanted: r.figures.wanted[i].Load() / wantedUnit})
	}
	return f
}
