package rig

import (
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	mrand "math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"cairnlane/internal/control"
	"cairnlane/internal/decide/lease"
	"cairnlane/internal/fleet"
	"cairnlane/internal/standin/catalog"
	"cairnlane/internal/standin/engine"
	"cairnlane/internal/standin/index"
	"cairnlane/internal/standin/router"
)

// SiteConfig is what a site of several boxes is started with.
type SiteConfig struct {
	Seed     uint64
	Dir      string // short: the paths of sockets in it have a bound
	Boxes    int
	Voters   []int
	Terms    lease.Terms
	Election time.Duration
	Example  string                        // the settings, as in examples/config.json
	Serve    func(config string) *exec.Cmd // starts the program with a box's configuration
	Env      func(box int) []string        // beside the system's; may be nil
	Clocks   bool                          // run clocks fast and slow within the drift; a trial build
	Sparse   bool                          // boxes that do not vote know the voters alone
	Load     bool                          // routers send requests to all boxes
	// Shape changes the settings of a box before they are written, and Engine gives it another engine than the usual one; both may be nil.
	Shape  func(box int, site map[string]any)
	Engine func(box int) *engine.Engine
	Extra  string // of a box's configuration, before the fleet's block
}

// Site is a fleet of real processes, each with its folder, stand-in engine and control socket. They reach each other through
// relays alone.
type Site struct {
	cfg     SiteConfig
	Net     *Net
	Boxes   []*Box
	Load    *Load
	traffic Traffic
	index   *index.Index // nil where runs call none
	catalog *catalog.Catalog
	began   time.Time
	key     string     // a line of a key file
	keying  sync.Mutex // one change of the key at a time
	harms   sync.WaitGroup

	mu      sync.Mutex
	history []Happening
}

// Happening is what the rig did, by its own clock.
type Happening struct {
	At   time.Duration
	Box  int
	What string
}

// Box is one box of a site.
type Box struct {
	Name   string
	Index  int
	site   *Site
	dir    string
	listen string // of requests
	fleet  string // where it hears peers
	rate   float64
	engine *engine.Address
	core   *engine.Engine

	mu      sync.Mutex // guards what follows
	proc    *Process
	starts  int
	stopped bool
	outages []span // killed or stopped
	cold    bool   // it loses its disk or has lost it, and does not vote under a new identity yet
	losing  bool   // and it was not started anew yet
	busy    bool   // a fault is under way at it
}

type span struct{ from, to time.Time } // to is zero while it lasts

// CallTakes is how long the index needs for a call in a trial.
const CallTakes = 4 * time.Millisecond

// deadline is the longest of the classes' in a site.
const deadline = 800 * time.Millisecond

// NewSite prepares a site; Start starts its boxes.
func NewSite(cfg SiteConfig) (*Site, error) {
	s := &Site{cfg: cfg, Net: NewNet(), began: time.Now(), key: newKey()}
	var err error
	if s.traffic, err = TrafficOf(cfg.Example); err != nil {
		return nil, err
	}
	if s.traffic.Calls {
		if s.index, err = index.Start(CallTakes); err != nil {
			return nil, err
		}
	}
	if s.catalog, err = catalog.Start(); err != nil {
		return nil, err
	}
	addrs, err := FreeAddrs(2 * cfg.Boxes)
	if err != nil {
		return nil, err
	}
	src := mrand.New(mrand.NewPCG(cfg.Seed, 77))
	for i := range cfg.Boxes {
		b := &Box{Name: fmt.Sprintf("n%d", i), Index: i, site: s, dir: filepath.Join(cfg.Dir, fmt.Sprint(i)), listen: addrs[2*i], fleet: addrs[2*i+1], rate: 1}
		if cfg.Clocks {
			b.rate = 1 + cfg.Terms.Drift*[]float64{-1, 1, 0.5, -0.5, 0}[src.IntN(5)]
		}
		work := mrand.New(mrand.NewPCG(cfg.Seed, uint64(1000+i)))
		var mu sync.Mutex
		b.core = engine.New(func(string) time.Duration {
			mu.Lock()
			defer mu.Unlock()
			return time.Duration(3+work.ExpFloat64()*10) * time.Millisecond
		})
		if cfg.Engine != nil {
			b.core = cfg.Engine(i)
		}
		b.core.Calls(s.traffic.Calls)
		if b.engine, err = b.core.Listen(); err != nil {
			return nil, err
		}
		s.Boxes = append(s.Boxes, b)
	}
	for _, b := range s.Boxes {
		if err := b.configure(b.dir, b.listen, b.fleet); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// configure writes a box's configuration into a folder.
func (b *Box) configure(dir, listen, fleetAddr string) error {
	s := b.site
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	raw, err := os.ReadFile(s.cfg.Example)
	if err != nil {
		return err
	}
	var c map[string]any
	if err := json.Unmarshal(raw, &c); err != nil {
		return err
	}
	c["name"], c["listen"], c["engine"], c["directory"] = b.Name, listen, b.engine.String(), s.catalog.String()
	if s.index != nil {
		c["index"] = s.index.String()
	}
	c["stop_ms"] = 1000
	c["limits"] = map[string]any{"cores": 1.0, "memory_mb": 96, "sockets": 512}
	set := c["settings"].(map[string]any)
	for _, l := range set["lanes"].([]any) {
		lane := l.(map[string]any)
		lane["deadline"], lane["aim"] = deadline.Microseconds(), deadline.Microseconds()/2
	}
	set["guarantees"].(map[string]any)["drain-grace"] = 100_000
	if s.cfg.Shape != nil {
		s.cfg.Shape(b.Index, c)
	}
	if raw, err = json.Marshal(c); err != nil {
		return err
	}
	var hcl strings.Builder
	fmt.Fprintf(&hcl, "replica = \"site.json\"\nstate = \"state\"\n%s\nfleet {\n listen = %q\n key_file = %q\n election_ms = %d\n", s.cfg.Extra, fleetAddr, b.keyFile(), s.cfg.Election.Milliseconds())
	for _, o := range s.Boxes {
		if s.cfg.Sparse && o != b && !s.isVoter(b) && !s.isVoter(o) {
			continue
		}
		at := o.fleet
		if o != b {
			if at, err = s.Net.Relay(b.Index, o.Index, func() string { return o.fleet }); err != nil {
				return err
			}
		}
		fmt.Fprintf(&hcl, " peer %q {\n  address = %q\n }\n", o.Name, at)
	}
	hcl.WriteString("}\n")
	if _, err := os.Stat(b.keyFile()); err != nil { // a twin has that of its box
		if err := replaceFile(b.keyFile(), s.key); err != nil {
			return err
		}
	}
	return errors.Join(os.WriteFile(filepath.Join(dir, "site.json"), raw, 0o600), os.WriteFile(filepath.Join(dir, "a.hcl"), []byte(hcl.String()), 0o600))
}

// happened notes what the rig does.
func (s *Site) happened(box int, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = append(s.history, Happening{time.Since(s.began), box, fmt.Sprintf(format, args...)})
}

// At is when something happened, by the machine's clock.
func (s *Site) At(h Happening) time.Time { return s.began.Add(h.At) }

// History is what the rig did so far.
func (s *Site) History() []Happening {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Happening(nil), s.history...)
}

// Start starts all boxes, begins the fleet at the first voter and waits until all are in.
func (s *Site) Start() error {
	for _, b := range s.Boxes {
		if err := b.Start(); err != nil {
			return err
		}
	}
	first := s.Boxes[s.cfg.Voters[0]]
	var names []string
	for _, v := range s.cfg.Voters {
		names = append(names, s.Boxes[v].Name)
	}
	if err := until(20*time.Second, func() error { return first.Control().Fleet().Init(s.cfg.Terms, names) }); err != nil {
		return fmt.Errorf("rig: the fleet cannot be begun: %w\n%s", err, first.Log())
	}
	if err := s.Settle(30 * time.Second); err != nil {
		return err
	}
	if s.cfg.Load {
		s.Load = &Load{Seed: s.cfg.Seed, Traffic: s.traffic, Limit: deadline * 3 / 4, Pause: 20 * time.Millisecond, Excused: s.excused, Engines: func() (list []*engine.Engine) {
			for _, b := range s.Boxes {
				list = append(list, b.core)
			}
			return list
		}}
		for _, b := range s.Boxes {
			s.Load.Routers = append(s.Load.Routers, &router.Router{Addr: b.listen})
		}
		s.Load.Begin()
	}
	return nil
}

// until tries something again until it gives no error or the time is over.
func until(most time.Duration, try func() error) error {
	var err error
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if err = try(); err == nil {
			return nil
		}
	}
	return err
}

// Settle waits until all boxes are in, agree, and all that are to vote do.
func (s *Site) Settle(most time.Duration) error {
	s.harms.Wait()
	err := until(most, func() error {
		for _, b := range s.Boxes {
			st, err := b.Status()
			if err != nil {
				return fmt.Errorf("%s: %w", b.Name, err)
			}
			if st.Phase != "in" || !st.Agrees || len(st.Voters) != len(s.cfg.Voters) {
				return fmt.Errorf("%s: phase %s, agrees %v, voters %v: %s", b.Name, st.Phase, st.Agrees, st.Voters, st.Reason)
			}
			for _, v := range s.cfg.Voters {
				if b.Index == v && st.Role != "voter" && st.Role != "leader" {
					return fmt.Errorf("%s: its role is %s", b.Name, st.Role)
				}
			}
			b.mu.Lock()
			b.cold = b.losing
			b.mu.Unlock()
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("rig: the fleet does not come to rest: %w", err)
	}
	return nil
}

// Close ends all.
func (s *Site) Close() {
	if s.Load != nil {
		s.Load.End()
	}
	for _, b := range s.Boxes {
		b.mu.Lock()
		p := b.proc
		b.mu.Unlock()
		if p != nil {
			p.Kill()
		}
		b.engine.Close()
	}
	s.Net.Close()
	s.catalog.Close()
	if s.index != nil {
		s.index.Close()
	}
}

// excused tells whether a box was killed or stopped at some time since.
func (s *Site) excused(router int, since time.Time) bool {
	b := s.Boxes[router]
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, o := range b.outages {
		// A moment more: a process that has just come back has much to catch up on.
		if o.to.IsZero() || o.to.Add(outageRest).After(since) {
			return true
		}
	}
	return false
}

const outageRest = 300 * time.Millisecond

// Out tells whether a box was killed or stopped at some time between two.
func (b *Box) Out(from, to time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, o := range b.outages {
		if (o.to.IsZero() || o.to.After(from)) && o.from.Before(to) {
			return true
		}
	}
	return false
}

// down and up keep the times at which the box is not there; b.mu is held.
func (b *Box) down() { b.outages = append(b.outages, span{from: time.Now()}) }

func (b *Box) up() {
	for i := range b.outages {
		if b.outages[i].to.IsZero() {
			b.outages[i].to = time.Now()
		}
	}
}

// Start starts the box's process and waits until it takes clients.
func (b *Box) Start() error {
	cmd := b.site.cfg.Serve(filepath.Join(b.dir, "a.hcl"))
	if cmd.Env == nil {
		cmd.Env = os.Environ()
	}
	if b.site.cfg.Env != nil {
		cmd.Env = append(cmd.Env, b.site.cfg.Env(b.Index)...)
	}
	cmd.Env = append(cmd.Env, "CAIRNLANE_TRIAL_WALL="+b.wall())
	if b.rate != 1 {
		cmd.Env = append(cmd.Env, fmt.Sprintf("CAIRNLANE_TRIAL_CLOCK_RATE=%v", b.rate))
	}
	p, err := Start(cmd, nil)
	if err != nil {
		return err
	}
	b.mu.Lock()
	b.proc, b.stopped = p, false
	b.starts++
	b.mu.Unlock()
	err = until(10*time.Second, func() error {
		select {
		case <-p.Ended():
			return fmt.Errorf("it has ended: %v", p.Err())
		default:
		}
		_, err := b.Control().Ask("check")
		return err
	})
	if err != nil {
		return fmt.Errorf("rig: %s does not take clients: %w\n%s", b.Name, err, p.Log())
	}
	b.mu.Lock()
	b.losing = false
	b.up()
	b.mu.Unlock()
	return nil
}

// Addr is where the box takes requests, Engine where its engine listens.
func (b *Box) Addr() string            { return b.listen }
func (b *Box) Engine() *engine.Address { return b.engine }

// Began tells whether the box's engine has begun a run under an id; Born says when the engine came up.
func (b *Box) Began(id string) bool { return b.core.Began(id) }
func (b *Box) Born(at time.Time)    { b.core.Born(at) }

// Catalog is the stand-in to which all boxes report.
func (s *Site) Catalog() *catalog.Catalog { return s.catalog }

// Configure writes the box's configuration anew, as its shape is now; the next start takes it.
func (b *Box) Configure() error { return b.configure(b.dir, b.listen, b.fleet) }

// Kill ends the box's process at once.
func (b *Box) Kill() {
	b.mu.Lock()
	b.down()
	p := b.proc
	b.mu.Unlock()
	if p != nil {
		p.Kill()
	}
}

// Signal stops or continues the box's process.
func (b *Box) stop(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped == on || b.proc == nil {
		return
	}
	b.stopped = on
	if on {
		b.down()
		b.proc.Signal(syscall.SIGSTOP)
		return
	}
	b.proc.Signal(syscall.SIGCONT)
	b.up()
}

// Log is the end of what the box's process has printed.
func (b *Box) Log() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.proc == nil {
		return ""
	}
	return b.proc.Log()
}

// Pid is the number of the box's process.
func (b *Box) Pid() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.proc == nil {
		return 0
	}
	return b.proc.Pid()
}

// Socket is the box's control socket.
func (b *Box) Socket() string { return filepath.Join(b.dir, "state", "control.sock") }

// Control asks the box's process.
func (b *Box) Control() *control.Client { return control.NewClient(b.Socket()) }

// askTime bounds a question to a box that may be stopped.
const askTime = 500 * time.Millisecond

// Status asks how the box stands to its fleet. One that does not answer within a moment gives an error.
func (b *Box) Status() (fleet.Status, error) {
	type answer struct {
		s   fleet.Status
		err error
	}
	c := make(chan answer, 1)
	go func() {
		s, err := b.Control().Fleet().Status()
		c <- answer{s, err}
	}()
	select {
	case a := <-c:
		return a.s, a.err
	case <-time.After(askTime):
		return fleet.Status{}, errors.New("no answer")
	}
}

// Leader finds who leads.
func (s *Site) Leader() *Box {
	for _, b := range s.Boxes {
		b.mu.Lock()
		stopped := b.stopped
		b.mu.Unlock()
		if st, err := b.Status(); !stopped && err == nil && st.Role == "leader" && st.Agrees {
			return b
		}
	}
	return nil
}

// newKey makes a line of a key file.
func newKey() string {
	key := make([]byte, 32)
	rand.Read(key)
	return base64.StdEncoding.EncodeToString(key) + "\n"
}

// keyFile and wall are the box's key of the fleet and, while it lasts, the jump of its time of day.
func (b *Box) keyFile() string { return filepath.Join(b.dir, "fleet.key") }
func (b *Box) wall() string    { return filepath.Join(b.dir, "wall") }

// state is the folder with what outlives a restart.
func (b *Box) state() string { return filepath.Join(b.dir, "state") }

// copyDir copies the regular files of a folder.
func copyDir(from, to string) error {
	return filepath.WalkDir(from, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		rel, err := filepath.Rel(from, path)
		if err != nil {
			return err
		}
		at := filepath.Join(to, rel)
		switch {
		case d.IsDir():
			return os.MkdirAll(at, 0o700)
		case !d.Type().IsRegular():
			return nil
		}
		in, err := os.Open(path)
		if err != nil {
			return err
		}
		defer in.Close()
		out, err := os.OpenFile(at, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
		if err != nil {
			return err
		}
		_, err = io.Copy(out, in)
		return errors.Join(err, out.Close())
	})
}
