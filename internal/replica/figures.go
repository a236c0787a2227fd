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
	late  []atomic.Int64           // served after the aim, by class
	first []atomic.Int64           // first tries that were taken, by class
	teams map[string]*atomic.Int64 // and by tenant
	busy  atomic.Uint64            // bits of the share of the cores that was wanted of late
}

func newFigures(classes []policy.Class, tenants []string) *figures {
	n := len(classes)
	f := &figures{ends: make([][kinds]atomic.Int64, n), late: make([]atomic.Int64, n), first: make([]atomic.Int64, n), teams: make(map[string]*atomic.Int64, len(tenants))}
	for _, t := range tenants {
		f.teams[t] = new(atomic.Int64)
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

// demand takes a reading of the demand for cores, as a share of them; it is averaged over some 30 readings. One caller at a time.
func (f *figures) demand(share float64) {
	was := math.Float64frombits(f.busy.Load())
	f.busy.Store(math.Float64bits(was + (min(share, 1)-was)/demandReadings))
}

const demandReadings = 32

func (f *figures) ended(class int, k Kind) {
	f.ends[class][k].Add(1)
	f.open.Add(-1)
}

// ClassFigures are those of one class, from the start of the process on.
type ClassFigures struct {
	Name                    string
	Served, Refused, Failed int64
	Late                    int64 // served after the aim
	First                   int64 // first tries that were taken
}

// Figures are what operators read of the requests.
type Figures struct {
	Classes []ClassFigures
	Tries   int64            // runs that were handed to the engine
	Open    int64            // requests that were taken and have not ended
	Tenants map[string]int64 // first tries that were taken
	Busy    float64          // share of the cores that was wanted of late, 0 to 1
}

// Figures reads them. It takes no lock.
func (r *Replica) Figures() Figures {
	f := Figures{Tries: r.figures.tries.Load(), Open: r.figures.open.Load(), Tenants: make(map[string]int64, len(r.figures.teams)), Busy: math.Float64frombits(r.figures.busy.Load())}
	for name, n := range r.figures.teams {
		f.Tenants[name] = n.Load()
	}
	for i, name := range r.figures.names {
		e := &r.figures.ends[i]
		f.Classes = append(f.Classes, ClassFigures{Name: name, Served: e[Served].Load(), Refused: e[Refused].Load(), Failed: e[Failed].Load(), Late: r.figures.late[i].Load(), First: r.figures.first[i].Load()})
	}
	return f
}
