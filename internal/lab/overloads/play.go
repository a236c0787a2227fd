// Package overloads plays days of overload over fleets of real processes: the program's boxes with stand-in engines, routers with habits
// and clients of the model (internal/lab/model), as a fleet, each alone, and as a fleet whose boxes hear nothing of each other, side by side
// on the same clients and the same faults.
package overloads

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cairnlane/internal/decide/lease"
	"cairnlane/internal/decide/rollout"
	"cairnlane/internal/lab/model"
	"cairnlane/internal/lab/rig"
	"cairnlane/internal/standin/engine"
	"cairnlane/internal/standin/router"
	"cairnlane/policy"
)

// Config is what one fleet plays a day with.
type Config struct {
	Day     model.Day
	Dir     string
	Example string
	Serve   func(config string) *exec.Cmd
	Outage  time.Duration // after the day: catalog and links to the engines are down for all; 0 for none
	Note    func(format string, a ...any)
}

// Result is what came of a day.
type Result struct {
	model.Worth
	Lost, Twice, DoubleRuns, Late, Wrong int64
	Refused, Sent                        int64         // answers, and tries that were read
	LevelChanges                         int           // of one process, within 10 s at the most
	Invariants                           int64         // broken, as the boxes count them
	Probes                               float64       // questions to catalog and engines a second while both were down
	Back                                 time.Duration // until all boxes had reported again
	Over, Low, Beyond                    int64         // refused by the fleet's word
}

// play is a day that is played.
type play struct {
	cfg      Config
	rig      *rig.Site
	machines []*machine
	t0       time.Time
	wires    [][]*router.Router // by router and box
	life     []atomic.Int64     // of boxes

	mu      sync.Mutex // guards the routers' state and what follows
	routers []*model.Router
	alive   []bool
	fates   []model.Fate
	runs    map[string][]run // of keyed requests, by body
	open    sync.WaitGroup
	res     Result
	works   sync.Map // work of a request, by its body
	turns   [][]time.Duration
	levels  []int
	cold    []bool
}

type run struct {
	box  int
	life int64
}

// terms are short, so that a fleet of a trial comes to rest soon.
var terms = lease.Terms{Term: 2 * time.Second, Drift: 0.02}

// Play plays it.
func Play(cfg Config) (*Result, error) {
	d := cfg.Day
	p := &play{cfg: cfg, alive: make([]bool, d.Boxes), life: make([]atomic.Int64, d.Boxes), runs: map[string][]run{}, turns: make([][]time.Duration, d.Boxes), levels: make([]int, d.Boxes), cold: make([]bool, d.Boxes)}
	for i := range d.Boxes {
		p.machines = append(p.machines, newMachine(d.Machine))
		p.alive[i] = true
	}
	voters := []int{0, 1, 2}[:min(3, d.Boxes)]
	var err error
	p.rig, err = rig.NewSite(rig.SiteConfig{Seed: d.Seed, Dir: cfg.Dir, Boxes: d.Boxes, Voters: voters, Terms: terms, Election: 400 * time.Millisecond, Example: cfg.Example, Serve: cfg.Serve, Shape: p.shape, Engine: p.engine})
	if err != nil {
		return nil, err
	}
	defer p.rig.Close()
	if err := p.rig.Start(); err != nil {
		return nil, err
	}
	if d.Mode != model.Alone {
		if err := p.rules(); err != nil {
			return nil, err
		}
	}
	if d.Mode == model.Cut {
		p.cut(func(a, b int) bool { return true }, true)
		time.Sleep(forgets) // until nobody trusts what it heard
	}
	p.connect()
	stop := make(chan struct{})
	var looks sync.WaitGroup
	looks.Go(func() { p.look(stop) })
	p.t0 = time.Now()
	p.troubles(&looks)
	for _, q := range d.Draw(d.Load) {
		time.Sleep(time.Until(p.t0.Add(q.At)))
		p.open.Add(1)
		p.works.Store(p.body(q), q.Work)
		p.try(&flow{q: q})
	}
	p.open.Wait()
	close(stop)
	looks.Wait()
	if cfg.Outage > 0 {
		p.outage()
	}
	p.sum()
	return &p.res, nil
}

// forgets is how long after the last word a box goes by itself alone, and a little.
const forgets = 4 * time.Second

// shape is a box's settings: the model's site.
func (p *play) shape(box int, c map[string]any) {
	d := p.cfg.Day
	us := func(t time.Duration) int64 { return t.Microseconds() }
	set := c["settings"].(map[string]any)
	fam := set["family-info"].(map[string]any)
	fam["cores"], fam["cold"], fam["heeded"], fam["upstreams"] = d.Cores, p.cold[box], us(d.Heeded), d.Routers
	g := set["guarantees"].(map[string]any)
	g["cold"], g["cold-from"] = us(d.ColdFor), d.ColdFrom
	set["policy-limits"].(map[string]any)["max-retry-after"] = us(d.MaxLater)
	for i, l := range set["lanes"].([]any) { // the day's classes are the settings'
		k, lane := d.Classes[i], l.(map[string]any)
		lane["aim"], lane["deadline"], lane["dedup-window"] = us(k.Aim), us(k.Deadline), us(k.DedupWindow)
	}
}

// engine is a box's: its runs are on the cores of the box's machine.
func (p *play) engine(box int) *engine.Engine {
	m := p.machines[box]
	return engine.On(func(_, body string, done func(time.Duration)) {
		work, ok := p.works.Load(body)
		if !ok {
			p.cfg.Note("the engine of n%d is to run %q, which nobody has asked for", box, body)
			atomic.AddInt64(&p.res.Wrong, 1)
			return
		}
		if strings.HasPrefix(body, keyedBody) {
			p.mu.Lock()
			p.runs[body] = append(p.runs[body], run{box, p.life[box].Load()})
			p.mu.Unlock()
		}
		began := time.Now()
		m.add(work.(time.Duration), func() { done(time.Since(began)) })
	}, m.demand)
}

// rules has the fleet shed as one, and waits until all boxes do.
func (p *play) rules() error {
	var src strings.Builder
	src.WriteString("needs = 2\noverload {\n shares = {\n")
	for name, s := range p.cfg.Day.Shares(p.cfg.Day.Quota) {
		fmt.Fprintf(&src, "  %q = %.3f\n", name, s)
	}
	src.WriteString(" }\n}\n")
	c := p.rig.Boxes[0].Control().Fleet()
	n, err := c.PutConfig([]byte(src.String()))
	if err == nil {
		err = c.StartRoll(n, rollout.Plan{Canaries: 1, Share: 1, Timeout: 12 * time.Second, Slots: p.cfg.Day.Boxes})
	}
	if err != nil {
		return fmt.Errorf("overloads: the rules are not taken: %w", err)
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(lookEach) {
		err = nil
		for _, b := range p.rig.Boxes {
			if l, e := b.Control().Fleet().Load(); e != nil || l.Advice == nil || l.Advice.Trust < 1 && len(p.rig.Boxes) > 1 && p.cfg.Day.Mode == model.Fleet && l.Fleet.Boxes < len(p.rig.Boxes) {
				err = fmt.Errorf("overloads: %s does not go by the rules: %+v %v", b.Name, l, e)
			}
		}
		if err == nil || time.Now().After(end) {
			return err
		}
	}
}

const lookEach = 250 * time.Millisecond

// cut has the links between some boxes lose all, or lose nothing.
func (p *play) cut(between func(a, b int) bool, on bool) {
	for a := range p.rig.Boxes {
		for b := range p.rig.Boxes {
			if a != b && between(a, b) {
				p.rig.Net.Set(a, b, func(f *rig.Flow) { f.Cut = on })
			}
		}
	}
}

func (p *play) connect() {
	d := p.cfg.Day
	all := make([]int, d.Boxes)
	for i := range all {
		all[i] = i
	}
	src := model.Stream(d.Seed)
	for i, h := range model.Habits(d.Seed, d.Routers) {
		r := model.NewRouter(h, d.Heeded, src)
		r.List(all)
		p.routers = append(p.routers, r)
		var wires []*router.Router
		for _, b := range p.rig.Boxes {
			wires = append(wires, &router.Router{Addr: b.Addr(), Number: i, Twice: func(int32) { atomic.AddInt64(&p.res.Twice, 1) }})
		}
		p.wires = append(p.wires, wires)
	}
}

// flow is a request on its way.
type flow struct {
	q     model.Request
	tried []int
	tries int
	let   int
	at    int // the try that is out, from 1; 0: none
	ended bool
}

// keyedBody begins the bodies of keyed requests.
const keyedBody = "key "

func (p *play) now() time.Duration { return time.Since(p.t0) + time.Hour }

// body is a request's: it tells the engine's side whether it may run once alone.
func (p *play) body(q model.Request) string {
	if p.cfg.Day.Classes[q.Class].Semantics == policy.Keyed {
		return keyedBody + fmt.Sprint(q.N)
	}
	return fmt.Sprintf("body %d", q.N)
}

// try sends a request to a box, if there is one to send it to.
func (p *play) try(f *flow) {
	d := p.cfg.Day
	p.mu.Lock()
	defer p.mu.Unlock()
	due := p.t0.Add(d.Due(f.q))
	if f.ended {
		return
	}
	box, ok := p.routers[f.q.Router].Pick(p.now(), f.q, f.tried)
	if !ok || time.Now().After(due) {
		p.end(f, false)
		return
	}
	f.tried = append(f.tried, box)
	if !p.alive[box] { // the connection is refused: nobody reads it
		time.AfterFunc(time.Millisecond, func() { p.try(f) })
		return
	}
	p.routers[f.q.Router].Sent(box)
	f.tries++
	f.at = f.tries
	n, door, life := f.tries, time.Now(), p.life[box].Load()
	txn := fmt.Sprintf("%08x%08x", f.q.N, n)
	p.res.Sent++
	time.AfterFunc(time.Until(due), func() { p.left(f, n, box) })
	p.machines[box].add(d.Read, func() { p.send(f, n, txn, box, life, door) })
}

// left is the client's leaving while a try is out.
func (p *play) left(f *flow, n, box int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.at == n && !f.ended {
		p.routers[f.q.Router].Heard(p.now(), box, model.Told{})
		p.end(f, false)
	}
}

// send hands a try that was read to the box's process.
func (p *play) send(f *flow, n int, txn string, box int, life int64, door time.Time) {
	d := p.cfg.Day
	limit := d.Due(f.q) - door.Sub(p.t0)
	p.mu.Lock()
	gone := f.ended || f.at != n
	p.mu.Unlock()
	if gone || limit <= 0 {
		return
	}
	k := d.Classes[f.q.Class]
	q := router.Request{Txn: txn, Class: k.Name, Tenant: d.Tenants[f.q.Tenant].Name, Body: p.body(f.q), Limit: limit, Retry: n > 1, Rank: f.q.Rank, Door: door}
	if k.Semantics == policy.Keyed {
		q.Unique = fmt.Sprintf("%032x", f.q.N)
	}
	p.wires[f.q.Router][box].Send(q, func(o router.Outcome) {
		died := p.life[box].Load() != life
		if o.Took = time.Since(door); o.Took > limit+answerRest && !died {
			atomic.AddInt64(&p.res.Late, 1)
			p.cfg.Note("%s to n%d was answered after %v of %v", txn, box, o.Took, limit)
		}
		if o.End == router.Served && o.Body != "did "+q.Body {
			atomic.AddInt64(&p.res.Wrong, 1)
		}
		if o.End == router.Lost && !died {
			atomic.AddInt64(&p.res.Lost, 1)
			p.cfg.Note("%s to n%d was lost", txn, box)
		}
		p.heard(f, n, box, txn, o)
	})
}

// answerRest is the slack of the rules on sockets, and what 24 processes and all that is around them on one machine add to it.
const answerRest = 300 * time.Millisecond

// heard takes the answer of a try.
func (p *play) heard(f *flow, n, box int, txn string, o router.Outcome) {
	p.mu.Lock()
	again := false
	if n > 1 && p.rig.Boxes[box].Began(txn) {
		f.let++
	}
	if o.End == router.Refused {
		p.res.Refused++
	}
	if f.at == n && !f.ended {
		r := p.routers[f.q.Router]
		told := model.Told{Later: o.Later, GiveUp: o.GiveUp, Signal: o.Feedback, Set: o.Told}
		r.Heard(p.now(), box, told)
		f.at = 0
		safe := p.cfg.Day.Classes[f.q.Class].Semantics == policy.Safe
		switch {
		case o.End == router.Served:
			p.end(f, true)
		case o.End == router.Refused || o.End == router.TurnedBack || o.End == router.Lost && safe:
			if again = r.Again(f.tries, told); !again {
				p.end(f, false)
			}
		default:
			p.end(f, false)
		}
	}
	p.mu.Unlock()
	if again {
		p.try(f)
	}
}

// end ends a request; p.mu is held.
func (p *play) end(f *flow, served bool) {
	f.ended = true
	p.fates = append(p.fates, model.Fate{Request: f.q, Served: served, Took: time.Since(p.t0) - f.q.At, Tries: f.tries, Let: f.let})
	p.open.Done()
}

// troubles plays what goes wrong. The routers' list follows as late as the site has it.
func (p *play) troubles(wait *sync.WaitGroup) {
	d := p.cfg.Day
	at := func(t time.Duration, do func()) {
		wait.Go(func() {
			time.Sleep(time.Until(p.t0.Add(t)))
			do()
		})
	}
	for _, t := range d.Troubles {
		switch t.Kind {
		case model.Slow:
			for _, b := range t.Boxes {
				at(t.From, func() { p.machines[b].slow(1 / t.Times) })
				at(t.From+t.For, func() { p.machines[b].slow(1) })
			}
		case model.Kill:
			for _, b := range t.Boxes {
				at(t.From, func() { p.kill(b) })
				at(t.From+d.ListLag, p.list)
				at(t.From+t.For, func() { p.start(b) })
				at(t.From+t.For+d.ListLag, p.list)
			}
		case model.Partition:
			if d.Mode == model.Cut {
				continue
			}
			half := func(a, b int) bool { return slices.Contains(t.Boxes, a) != slices.Contains(t.Boxes, b) }
			at(t.From, func() { p.cut(half, true) })
			at(t.From+t.For, func() { p.cut(half, false) })
		case model.Catalog:
			at(t.From, func() { p.rig.Catalog().Down(true) })
			at(t.From+t.For, func() { p.rig.Catalog().Down(false) })
		}
	}
}

func (p *play) kill(b int) {
	p.life[b].Add(1)
	p.mu.Lock()
	p.alive[b], p.cold[b] = false, true
	p.mu.Unlock()
	p.machines[b].restart(true)
	p.rig.Boxes[b].Kill()
}

func (p *play) start(b int) {
	p.machines[b].restart(true)
	p.rig.Boxes[b].Born(time.Now())
	err := p.rig.Boxes[b].Configure()
	if err == nil {
		err = p.rig.Boxes[b].Start()
	}
	if err != nil {
		p.cfg.Note("n%d does not come back: %v", b, err)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.alive[b], p.levels[b], p.turns[b] = true, 0, nil
}

// list tells all routers which boxes there are.
func (p *play) list() {
	p.mu.Lock()
	defer p.mu.Unlock()
	var up []int
	for b, alive := range p.alive {
		if alive {
			up = append(up, b)
		}
	}
	for _, r := range p.routers {
		r.List(up)
	}
}

// look asks the boxes for their level again and again.
func (p *play) look(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(lookEach):
		}
		for i, b := range p.rig.Boxes {
			p.mu.Lock()
			alive, life := p.alive[i], p.life[i].Load()
			p.mu.Unlock()
			if !alive {
				continue
			}
			l, err := b.Control().Fleet().Load()
			if err != nil || l.Advice == nil {
				continue
			}
			p.mu.Lock()
			if l.Advice.Level != p.levels[i] && life == p.life[i].Load() {
				p.levels[i] = l.Advice.Level
				p.turns[i] = append(p.turns[i], p.now())
				p.res.LevelChanges = max(p.res.LevelChanges, model.Most(p.turns[i], levelSpan))
			}
			p.mu.Unlock()
		}
	}
}

// levelSpan is the time in which a level changes once at the most, less what the looks are apart.
const levelSpan = 10*time.Second - 2*lookEach

// outage takes the catalog and the links to the engines from all boxes, counts what is asked meanwhile, and gives them back.
func (p *play) outage() {
	dials := func() (n int) {
		for _, b := range p.rig.Boxes {
			n += b.Engine().Dials()
		}
		return n
	}
	p.rig.Catalog().Down(true)
	for _, b := range p.rig.Boxes {
		b.Engine().Cut(true)
	}
	time.Sleep(p.cfg.Outage / 3) // they find out
	asked, from := p.rig.Catalog().Came()+dials(), time.Now()
	time.Sleep(p.cfg.Outage * 2 / 3)
	p.res.Probes = float64(p.rig.Catalog().Came()+dials()-asked) / time.Since(from).Seconds()
	p.rig.Catalog().Down(false)
	for _, b := range p.rig.Boxes {
		b.Engine().Cut(false)
	}
	back := time.Now()
	for _, b := range p.rig.Boxes {
		for time.Since(back) < 10*time.Second {
			if r, ok := p.rig.Catalog().Last(b.Name); ok && r.At.After(back) {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	p.res.Back = time.Since(back)
}

// sum works out what the day was worth, and reads what the boxes have counted.
func (p *play) sum() {
	d := p.cfg.Day
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, runs := range p.runs {
		seen := map[run]bool{}
		for _, r := range runs {
			if seen[r] {
				p.res.DoubleRuns++
				p.cfg.Note("%s ran twice at n%d", key, r.box)
			}
			seen[r] = true
		}
	}
	p.res.Worth = d.Judge(d.Load, p.fates)
	for _, b := range p.rig.Boxes {
		st, err := b.Control().Status()
		if err != nil {
			p.cfg.Note("%s does not answer at the end: %v", b.Name, err)
			continue
		}
		p.res.Invariants += st.Counters["invariants_broken"]
		p.res.Over += st.Counters["refused_over_share"]
		p.res.Low += st.Counters["refused_low_class"]
		p.res.Beyond += st.Counters["refused_beyond_tries"]
	}
	for _, list := range p.wires {
		for _, w := range list {
			w.Close()
		}
	}
}

// dirOf is the folder of one of several fleets.
func dirOf(dir string, parts ...any) string {
	return filepath.Join(dir, fmt.Sprint(parts...))
}
