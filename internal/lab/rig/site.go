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
	"cairnlane/internal/fake/catalog"
	"cairnlane/internal/fake/engine"
	"cairnlane/internal/fake/index"
	"cairnlane/internal/fake/router"
	"cairnlane/internal/fleet"
)

// SiteConfig configures a site of several boxes.
type SiteConfig struct {
	Seed            uint64
	Dir             string // a short path, because the paths of Unix sockets are limited
	Boxes           int
	Voters          []int
	Terms           lease.Terms
	Election        time.Duration
	SettingsFile    string                        // the path of a settings file such as examples/config.json
	Command         func(config string) *exec.Cmd // returns the command that runs the program with a box's configuration
	Env             func(box int) []string        // variables in addition to the environment of this process; may be nil
	SkewClocks      bool                          // run the boxes' clocks fast and slow within the drift; needs a trial build
	VotersOnlyPeers bool                          // boxes that are not voters have only the voters as peers
	Load            bool                          // routers send requests to all boxes
	// EditSettings changes the settings of a box before they are written. Engine returns the fake engine of a box in place of the default. Both may be nil.
	EditSettings func(box int, site map[string]any)
	Engine       func(box int) *engine.Engine
	ExtraConfig  string // text that is inserted into each box's configuration before its fleet block
}

// Site is a fleet of real processes, each with its own directory, fake engine and control socket. They reach each other only through
// relays.
type Site struct {
	cfg         SiteConfig
	Net         *Network
	Boxes       []*Box
	Load        *Load
	traffic     Traffic
	index       *index.Index // nil if runs do not call the index
	catalog     *catalog.Catalog
	began       time.Time
	key         string     // one line of a key file
	keyChangeMu sync.Mutex // serializes changes of the key
	outages     sync.WaitGroup

	mu      sync.Mutex
	history []Event
}

// Event is an action of the rig, with the time since the site was created.
type Event struct {
	At   time.Duration
	Box  int
	Text string
}

// Box is one box of a site, with its process.
type Box struct {
	Name        string
	Index       int
	site        *Site
	dir         string
	requestAddr string // where it listens for requests
	fleetAddr   string // where it listens for peers
	clockRate   float64
	engineAddr  *engine.Address
	fakeEngine  *engine.Engine

	mu            sync.Mutex // guards the fields below
	proc          *Process
	starts        int
	stopped       bool
	outages       []outage // times at which it was killed or stopped
	diskLost      bool     // it is about to lose or has lost its disk, and is not yet a voter under a new identity
	awaitingStart bool     // diskLost was set, and the box has not been started since
	faultActive   bool     // a fault is active at the box
}

type outage struct{ from, to time.Time } // to is zero until the outage ends

// IndexCallTime is how long the fake index takes for a call in a trial.
const IndexCallTime = 4 * time.Millisecond

// deadline is the deadline of all classes in a site, unless EditSettings changes it.
const deadline = 800 * time.Millisecond

// NewSite starts the fakes of a site and writes the configurations of its boxes. Start starts the boxes.
func NewSite(cfg SiteConfig) (*Site, error) {
	s := &Site{cfg: cfg, Net: NewNetwork(), began: time.Now(), key: newKey()}
	var err error
	if s.traffic, err = ReadTraffic(cfg.SettingsFile); err != nil {
		return nil, err
	}
	if s.traffic.Calls {
		if s.index, err = index.Start(IndexCallTime); err != nil {
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
	random := mrand.New(mrand.NewPCG(cfg.Seed, 77))
	for i := range cfg.Boxes {
		b := &Box{Name: fmt.Sprintf("n%d", i), Index: i, site: s, dir: filepath.Join(cfg.Dir, fmt.Sprint(i)), requestAddr: addrs[2*i], fleetAddr: addrs[2*i+1], clockRate: 1}
		if cfg.SkewClocks {
			b.clockRate = 1 + cfg.Terms.Drift*[]float64{-1, 1, 0.5, -0.5, 0}[random.IntN(5)]
		}
		runTimes := mrand.New(mrand.NewPCG(cfg.Seed, uint64(1000+i)))
		var mu sync.Mutex
		b.fakeEngine = engine.New(func(string) time.Duration {
			mu.Lock()
			defer mu.Unlock()
			return time.Duration(3+runTimes.ExpFloat64()*10) * time.Millisecond
		})
		if cfg.Engine != nil {
			b.fakeEngine = cfg.Engine(i)
		}
		b.fakeEngine.SetIndexCalls(s.traffic.Calls)
		if b.engineAddr, err = b.fakeEngine.Listen(); err != nil {
			return nil, err
		}
		s.Boxes = append(s.Boxes, b)
	}
	for _, b := range s.Boxes {
		if err := b.writeConfig(b.dir, b.requestAddr, b.fleetAddr); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// writeConfig writes a box's configuration into a directory.
func (b *Box) writeConfig(dir, listen, fleetAddr string) error {
	owner := b.site
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	raw, err := os.ReadFile(owner.cfg.SettingsFile)
	if err != nil {
		return err
	}
	var site map[string]any
	if err := json.Unmarshal(raw, &site); err != nil {
		return err
	}
	site["name"], site["listen"], site["engine"], site["directory"] = b.Name, listen, b.engineAddr.String(), owner.catalog.String()
	if owner.index != nil {
		site["index"] = owner.index.String()
	}
	site["stop_ms"] = 1000
	site["limits"] = map[string]any{"cores": 1.0, "memory_mb": 96, "sockets": 512}
	settings := site["settings"].(map[string]any)
	for _, entry := range settings["lanes"].([]any) {
		lane := entry.(map[string]any)
		lane["deadline"], lane["aim"] = deadline.Microseconds(), deadline.Microseconds()/2
	}
	settings["guarantees"].(map[string]any)["drain-grace"] = 100_000
	if owner.cfg.EditSettings != nil {
		owner.cfg.EditSettings(b.Index, site)
	}
	if raw, err = json.Marshal(site); err != nil {
		return err
	}
	var hcl strings.Builder
	fmt.Fprintf(&hcl, "replica = \"site.json\"\nstate = \"state\"\n%s\nfleet {\n listen = %q\n key_file = %q\n election_ms = %d\n", owner.cfg.ExtraConfig, fleetAddr, b.keyFile(), owner.cfg.Election.Milliseconds())
	for _, peer := range owner.Boxes {
		if owner.cfg.VotersOnlyPeers && peer != b && !owner.isVoter(b) && !owner.isVoter(peer) {
			continue
		}
		address := peer.fleetAddr
		if peer != b {
			if address, err = owner.Net.AddRelay(b.Index, peer.Index, func() string { return peer.fleetAddr }); err != nil {
				return err
			}
		}
		fmt.Fprintf(&hcl, " peer %q {\n  address = %q\n }\n", peer.Name, address)
	}
	hcl.WriteString("}\n")
	if _, err := os.Stat(b.keyFile()); err != nil { // a twin uses the key file of its box
		if err := replaceFile(b.keyFile(), owner.key); err != nil {
			return err
		}
	}
	return errors.Join(os.WriteFile(filepath.Join(dir, "site.json"), raw, 0o600), os.WriteFile(filepath.Join(dir, "a.hcl"), []byte(hcl.String()), 0o600))
}

// record adds an event to the history.
func (s *Site) record(box int, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = append(s.history, Event{time.Since(s.began), box, fmt.Sprintf(format, args...)})
}

// TimeOf returns the time of an event of the history.
func (s *Site) TimeOf(h Event) time.Time { return s.began.Add(h.At) }

// History returns all events so far.
func (s *Site) History() []Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Event(nil), s.history...)
}

// Start starts all boxes, initializes the fleet at the first voter, waits until all boxes have joined and starts the load if there is one.
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
	if err := retryUntil(20*time.Second, func() error { return first.Control().Fleet().Init(s.cfg.Terms, names) }); err != nil {
		return fmt.Errorf("rig: the fleet could not be initialized: %w\n%s", err, first.Output())
	}
	if err := s.Settle(30 * time.Second); err != nil {
		return err
	}
	if s.cfg.Load {
		s.Load = &Load{Seed: s.cfg.Seed, Traffic: s.traffic, Timeout: deadline * 3 / 4, MeanInterval: 20 * time.Millisecond, Excused: s.excused, Engines: func() (list []*engine.Engine) {
			for _, b := range s.Boxes {
				list = append(list, b.fakeEngine)
			}
			return list
		}}
		for _, b := range s.Boxes {
			s.Load.Routers = append(s.Load.Routers, &router.Router{Addr: b.requestAddr})
		}
		s.Load.Start()
	}
	return nil
}

// retryUntil repeats attempt until it succeeds or the timeout has passed.
func retryUntil(timeout time.Duration, attempt func() error) error {
	var err error
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if err = attempt(); err == nil {
			return nil
		}
	}
	return err
}

// Settle waits until all boxes have joined the fleet and agree, and all configured voters vote.
func (s *Site) Settle(timeout time.Duration) error {
	s.outages.Wait()
	err := retryUntil(timeout, func() error {
		for _, b := range s.Boxes {
			status, err := b.Status()
			if err != nil {
				return fmt.Errorf("%s: %w", b.Name, err)
			}
			if status.Phase != "in" || !status.Agrees || len(status.Voters) != len(s.cfg.Voters) {
				return fmt.Errorf("%s: phase %s, agrees %v, voters %v: %s", b.Name, status.Phase, status.Agrees, status.Voters, status.Reason)
			}
			for _, v := range s.cfg.Voters {
				if b.Index == v && status.Role != "voter" && status.Role != "leader" {
					return fmt.Errorf("%s: its role is %s", b.Name, status.Role)
				}
			}
			b.mu.Lock()
			b.diskLost = b.awaitingStart
			b.mu.Unlock()
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("rig: the fleet did not settle within %v: %w", timeout, err)
	}
	return nil
}

// Close stops the load, kills all boxes and closes the relays and the fakes.
func (s *Site) Close() {
	if s.Load != nil {
		s.Load.Stop()
	}
	for _, b := range s.Boxes {
		b.mu.Lock()
		p := b.proc
		b.mu.Unlock()
		if p != nil {
			p.Kill()
		}
		b.engineAddr.Close()
	}
	s.Net.Close()
	s.catalog.Close()
	if s.index != nil {
		s.index.Close()
	}
}

// excused reports whether a box was killed or stopped since a time.
func (s *Site) excused(router int, since time.Time) bool {
	b := s.Boxes[router]
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, o := range b.outages {
		// Requests shortly after the outage are excused too, because the process still handles its backlog.
		if o.to.IsZero() || o.to.Add(recoveryTime).After(since) {
			return true
		}
	}
	return false
}

// recoveryTime is how long after an outage failures of requests are still excused.
const recoveryTime = 300 * time.Millisecond

// WasOut reports whether the box was killed or stopped at some time between from and to.
func (b *Box) WasOut(from, to time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, o := range b.outages {
		if (o.to.IsZero() || o.to.After(from)) && o.from.Before(to) {
			return true
		}
	}
	return false
}

// beginOutage and endOutages record when the box is out of service. The caller holds b.mu.
func (b *Box) beginOutage() { b.outages = append(b.outages, outage{from: time.Now()}) }

func (b *Box) endOutages() {
	for i := range b.outages {
		if b.outages[i].to.IsZero() {
			b.outages[i].to = time.Now()
		}
	}
}

// Start starts the box's process and waits until it accepts clients.
func (b *Box) Start() error {
	cmd := b.site.cfg.Command(filepath.Join(b.dir, "a.hcl"))
	if cmd.Env == nil {
		cmd.Env = os.Environ()
	}
	if b.site.cfg.Env != nil {
		cmd.Env = append(cmd.Env, b.site.cfg.Env(b.Index)...)
	}
	cmd.Env = append(cmd.Env, "CAIRNLANE_TRIAL_WALL="+b.wallOffsetFile())
	if b.clockRate != 1 {
		cmd.Env = append(cmd.Env, fmt.Sprintf("CAIRNLANE_TRIAL_CLOCK_RATE=%v", b.clockRate))
	}
	p, err := Start(cmd, nil)
	if err != nil {
		return err
	}
	b.mu.Lock()
	b.proc, b.stopped = p, false
	b.starts++
	b.mu.Unlock()
	err = retryUntil(10*time.Second, func() error {
		select {
		case <-p.Done():
			return fmt.Errorf("the process has exited: %v", p.Err())
		default:
		}
		_, err := b.Control().OperatorCall("check")
		return err
	})
	if err != nil {
		return fmt.Errorf("rig: %s does not accept clients: %w\n%s", b.Name, err, p.Output())
	}
	b.mu.Lock()
	b.awaitingStart = false
	b.endOutages()
	b.mu.Unlock()
	return nil
}

// RequestAddr returns the address on which the box listens for requests, and EngineAddr that of its fake engine.
func (b *Box) RequestAddr() string         { return b.requestAddr }
func (b *Box) EngineAddr() *engine.Address { return b.engineAddr }

// HasStartedRun reports whether the box's engine has started a run with an id. SetEngineStart sets the time at which the engine reports to have started.
func (b *Box) HasStartedRun(id string) bool { return b.fakeEngine.HasRun(id) }
func (b *Box) SetEngineStart(at time.Time)  { b.fakeEngine.SetStartTime(at) }

// Catalog returns the fake catalog to which all boxes report.
func (s *Site) Catalog() *catalog.Catalog { return s.catalog }

// RewriteConfig rewrites the box's configuration with the current result of EditSettings. It takes effect at the next start.
func (b *Box) RewriteConfig() error { return b.writeConfig(b.dir, b.requestAddr, b.fleetAddr) }

// Kill sends SIGKILL to the box's process and waits until it has exited.
func (b *Box) Kill() {
	b.mu.Lock()
	b.beginOutage()
	p := b.proc
	b.mu.Unlock()
	if p != nil {
		p.Kill()
	}
}

// setStopped stops the box's process with SIGSTOP or continues it with SIGCONT.
func (b *Box) setStopped(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped == on || b.proc == nil {
		return
	}
	b.stopped = on
	if on {
		b.beginOutage()
		b.proc.Signal(syscall.SIGSTOP)
		return
	}
	b.proc.Signal(syscall.SIGCONT)
	b.endOutages()
}

// Output returns the last part of the output of the box's process.
func (b *Box) Output() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.proc == nil {
		return ""
	}
	return b.proc.Output()
}

// Pid returns the id of the box's process, or 0 if there is none.
func (b *Box) Pid() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.proc == nil {
		return 0
	}
	return b.proc.Pid()
}

// Socket returns the path of the box's control socket.
func (b *Box) Socket() string { return filepath.Join(b.dir, "state", "control.sock") }

// Control returns a client of the box's control socket.
func (b *Box) Control() *control.Client { return control.NewClient(b.Socket()) }

// statusTimeout bounds a status request, because the box may be stopped.
const statusTimeout = 500 * time.Millisecond

// Status returns the box's view of its fleet. It gives an error if the box does not answer within statusTimeout.
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
	case <-time.After(statusTimeout):
		return fleet.Status{}, fmt.Errorf("no status from %s within %v", b.Name, statusTimeout)
	}
}

// Leader returns the box that leads, or nil if none is found.
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

// newKey returns a line of a key file with a random key.
func newKey() string {
	key := make([]byte, 32)
	rand.Read(key)
	return base64.StdEncoding.EncodeToString(key) + "\n"
}

// keyFile holds the fleet's key. wallOffsetFile holds the offset of the box's wall clock while a fault of kind WallClockJump is active.
func (b *Box) keyFile() string        { return filepath.Join(b.dir, "fleet.key") }
func (b *Box) wallOffsetFile() string { return filepath.Join(b.dir, "wall") }

// stateDir is the directory of the state that survives a restart.
func (b *Box) stateDir() string { return filepath.Join(b.dir, "state") }

// copyDir copies the directories and regular files below a directory.
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
