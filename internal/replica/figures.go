package replica

import (
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
	tries atomic.Int64 // runs that were handed to the engine
	open  atomic.Int64 // requests without their answer
}

func newFigures(classes []policy.Class) *figures {
	f := &figures{ends: make([][kinds]atomic.Int64, len(classes))}
	for _, c := range classes {
		f.names = append(f.names, c.Name)
	}
	return f
}

func (f *figures) ended(class int, k Kind) {
	f.ends[class][k].Add(1)
	f.open.Add(-1)
}

// ClassFigures are those of one class, from the start of the process on.
type ClassFigures struct {
	Name                    string
	Served, Refused, Failed int64
}

// Figures are what operators read of the requests.
type Figures struct {
	Classes []ClassFigures
	Tries   int64 // runs that were handed to the engine
	Open    int64 // requests that were taken and have not ended
}

// Figures reads them. It takes no lock.
func (r *Replica) Figures() Figures {
	f := Figures{Tries: r.figures.tries.Load(), Open: r.figures.open.Load()}
	for i, name := range r.figures.names {
		e := &r.figures.ends[i]
		f.Classes = append(f.Classes, ClassFigures{name, e[Served].Load(), e[Refused].Load(), e[Failed].Load()})
	}
	return f
}
