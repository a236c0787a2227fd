// Package misuse plays clients that misbehave against a real process with little memory: clients that write at full speed, slowly or by
// halves, that leave, or that come again under the same id. Beside them usual routers send requests. It measures the memory of the process
// from outside, how the usual requests end, and what the engine ran for clients that had left.
package misuse

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cairnlane/internal/fake/catalog"
	"cairnlane/internal/fake/engine"
	"cairnlane/internal/fake/index"
	"cairnlane/internal/fake/router"
	"cairnlane/internal/lab/rig"
	"cairnlane/internal/operator"
)

// Config holds the settings of a trial.
type Config struct {
	Seed     uint64
	Command  []string // starts a replica
	Site     string   // path of the settings, as in examples/config.json
	MemoryMB int      // memory_mb of the process
	Crowd    int      // clients of a crowd
	Span     time.Duration
	Pictures []string // names of the pictures to play; empty: all
}

// picture is a kind of misuse.
type picture struct {
	name    string
	clients int
	crowd   bool // as many clients as Config.Crowd
	keyed   bool // the clients send keyed requests
	play    func(*client)
	// processes is the number of processes that share one listening socket, as in a replacement; 0 stands for one process with a
	// socket of its own.
	processes int
}

var pictures = []picture{
	{name: "unsound", clients: 1, play: (*client).unsound},
	{name: "new names", clients: 1, play: (*client).newNames},
	{name: "new keys", clients: 1, keyed: true, play: (*client).newNames},
	{name: "withdrawn", clients: 1, play: (*client).withdrawn},
	{name: "withdrawn keys", clients: 1, keyed: true, play: (*client).withdrawn},
	{name: "many fields", clients: 1, play: (*client).manyFields},
	{name: "slow", crowd: true, play: (*client).writeSlowly},
	{name: "half a request", crowd: true, play: (*client).stopHalfWay},
	{name: "many fields crowd", crowd: true, play: (*client).manyFields},
	{name: "unsound crowd", crowd: true, play: (*client).unsound},
	{name: "new names crowd", crowd: true, play: (*client).newNames},
	{name: "new keys crowd", crowd: true, keyed: true, play: (*client).newNames},
	{name: "leaving", clients: 2, play: (*client).leave},
	{name: "leaving keyed", clients: 2, keyed: true, play: (*client).leave},
	{name: "leaving keyed shared", clients: 2, keyed: true, play: (*client).leave, processes: 1},
	{name: "coming again", clients: 4, play: (*client).comeAgain},
	{name: "coming again keyed", clients: 4, keyed: true, play: (*client).comeAgain},
	{name: "coming again upgrade", clients: 4, keyed: true, play: (*client).comeAgain, processes: 2},
	{name: "new keys upgrade", clients: 1, keyed: true, play: (*client).newNames, processes: 2},
}

// reportSignal makes a process print its counters.
const reportSignal = syscall.SIGUSR1

// Times of a trial.
const (
	readyTimeout   = 10 * time.Second
	sampleInterval = 10 * time.Millisecond
	usualTimeout   = 2500 * time.Millisecond
	usualInterval  = 40 * time.Millisecond // mean time between two requests of a usual router
	runTime        = 20 * time.Millisecond
	leaveSlack     = 250 * time.Millisecond // a run that starts later was written to the engine after its client had left
)

// Bounds. Of the requests of the usual routers, at most 3 in 1,000 may go without an answer in their time.
const (
	sockets       = 1024
	usualRouters  = 4
	lostPerMille  = 3
	bytesPerMB    = 1 << 20
	bytesPerKB    = 1 << 10
	settledPeriod = 500 * time.Millisecond
)

// Result is the result of one picture.
type Result struct {
	Picture        string
	IdleKB, MostKB int   // anonymous memory before the clients began, and at the most
	LimitKB        int   // memory_mb
	Written        int64 // bytes that the clients wrote
	Read           int64 // bytes that the process read from its connections
	Usual          rig.Tally
	RunsAfterLeave int    // runs that began later than leaveSlack after their client had left
	DoubleRuns     int    // keyed requests that ran more than once
	Ended          bool   // the process ended by itself
	Closed         string // reasons for which the processes closed connections, with their numbers
	Notes          string
}

// FailedBounds returns the bounds that were not met.
func (r *Result) FailedBounds() (list []string) {
	if r.Ended {
		list = append(list, r.Picture+": the process ended")
	}
	if r.MostKB > r.LimitKB {
		list = append(list, fmt.Sprintf("%s: %d KB of memory, the limit is %d", r.Picture, r.MostKB, r.LimitKB))
	}
	if unanswered := r.Usual.Lost + r.Usual.Late; unanswered*1000 > lostPerMille*r.Usual.Requests {
		list = append(list, fmt.Sprintf("%s: %d of %d usual requests had no answer in their time", r.Picture, unanswered, r.Usual.Requests))
	}
	if r.DoubleRuns > 0 {
		list = append(list, fmt.Sprintf("%s: %d keyed requests ran twice", r.Picture, r.DoubleRuns))
	}
	if r.RunsAfterLeave > 0 {
		list = append(list, fmt.Sprintf("%s: %d runs began after their client had left", r.Picture, r.RunsAfterLeave))
	}
	return list
}

// String returns the result as one line.
func (r *Result) String() string {
	return fmt.Sprintf("%-20s memory_kb=%d..%d of %d written_mb=%.1f read_mb=%.1f usual=%d served=%d refused=%d failed=%d lost=%d late=%d not_accepted=%d runs_after_leave=%d double_runs=%d closed=[%s]%s",
		r.Picture, r.IdleKB, r.MostKB, r.LimitKB, float64(r.Written)/bytesPerMB, float64(r.Read)/bytesPerMB, r.Usual.Requests, r.Usual.Served, r.Usual.Rejected, r.Usual.Failed, r.Usual.Lost,
		r.Usual.Late, r.Usual.ConnectionRefused, r.RunsAfterLeave, r.DoubleRuns, strings.TrimSpace(r.Closed), r.Notes)
}

// ErrUnknownPicture is returned for a picture that does not exist.
var ErrUnknownPicture = errors.New("misuse: unknown picture")

// Run plays the pictures one after the other, each against a new process, and prints each result to progress.
func Run(cfg Config, progress io.Writer) (results []*Result, err error) {
	chosen := map[string]bool{}
	for _, name := range cfg.Pictures {
		chosen[name] = true
	}
	for _, p := range pictures {
		if len(cfg.Pictures) > 0 && !chosen[p.name] {
			continue
		}
		delete(chosen, p.name)
		r, err := play(cfg, p)
		if err != nil {
			return results, fmt.Errorf("%s: %w", p.name, err)
		}
		fmt.Fprintln(progress, r)
		results = append(results, r)
	}
	for name := range chosen {
		return results, fmt.Errorf("%w: %s", ErrUnknownPicture, name)
	}
	return results, nil
}

// trial is one picture that is being played.
type trial struct {
	cfg       Config
	dir       string
	traffic   rig.Traffic
	engine    *engine.Engine
	addresses []*engine.Address
	catalog   *catalog.Catalog
	index     *index.Index // nil if runs make no index calls
	listen    string
	shared    *net.TCPListener // nil if the process has a socket of its own
	processes []*rig.Process
	result    *Result
}

func play(cfg Config, p picture) (*Result, error) {
	tr := &trial{cfg: cfg, result: &Result{Picture: p.name, LimitKB: cfg.MemoryMB * bytesPerKB}}
	defer tr.close()
	if err := tr.start(p.processes); err != nil {
		return nil, err
	}
	time.Sleep(settledPeriod)
	tr.result.IdleKB = tr.memoryKB()
	load := tr.startUsualLoad()
	sent := &sentBodies{left: map[string]time.Time{}}
	var stop atomic.Bool
	var written atomic.Int64
	var clients sync.WaitGroup
	count := p.clients
	if p.crowd {
		count = cfg.Crowd
	}
	for i := range count {
		c := &client{addr: tr.listen, request: tr.completeRequest(p.keyed, cfg.Seed, uint64(i)), random: rand.New(rand.NewPCG(cfg.Seed, uint64(i))), stop: &stop, written: &written, sent: sent}
		clients.Go(func() { p.play(c) })
	}
	for end := time.Now().Add(cfg.Span); time.Now().Before(end); time.Sleep(sampleInterval) {
		tr.result.MostKB = max(tr.result.MostKB, tr.memoryKB())
		if tr.result.Ended = tr.anyEnded(); tr.result.Ended {
			break
		}
		if tr.result.MostKB > 8*tr.result.LimitKB { // the platform would have killed it long before
			break
		}
	}
	stop.Store(true)
	load.Stop()
	clients.Wait()
	tr.result.Written, tr.result.Usual = written.Load(), load.Tally
	if notes := load.Notes(); len(notes) > 0 {
		tr.result.Notes = " first note: " + notes[0]
	}
	time.Sleep(settledPeriod)
	tr.countRuns(sent, p.keyed)
	tr.readCounters()
	return tr.result, nil
}

// completeRequest returns a function that sets the class, the tenant and the names of a request.
func (tr *trial) completeRequest(keyed bool, seed, stream uint64) func(*message) {
	random := rand.New(rand.NewPCG(seed, 1000+stream))
	return func(m *message) {
		m.fields["team"], m.fields["verb"] = tr.traffic.Tenant, tr.traffic.Safe
		if keyed || tr.traffic.Safe == "" {
			m.fields["verb"] = tr.traffic.Keyed[0].Name
			m.fields["unique"] = fmt.Sprintf("%016x%016x", random.Uint64(), random.Uint64())
		}
	}
}

// startUsualLoad starts the usual routers.
func (tr *trial) startUsualLoad() *rig.Load {
	load := &rig.Load{Seed: tr.cfg.Seed, Traffic: tr.traffic, Timeout: usualTimeout, MeanInterval: usualInterval,
		Excused: func(int, time.Time) bool { return false }, Engines: func() []*engine.Engine { return []*engine.Engine{tr.engine} }}
	for range usualRouters {
		load.Routers = append(load.Routers, &router.Router{Addr: tr.listen})
	}
	load.Start()
	return load
}

// countRuns counts the runs of clients that had left.
func (tr *trial) countRuns(sent *sentBodies, keyed bool) {
	sent.mu.Lock()
	defer sent.mu.Unlock()
	for body, left := range sent.left {
		runs := tr.engine.Runs(body)
		if keyed && len(runs) > 1 {
			tr.result.DoubleRuns++
		}
		for _, run := range runs {
			if !left.IsZero() && run.At.After(left.Add(leaveSlack)) {
				tr.result.RunsAfterLeave++
			}
		}
	}
}

// start starts the fakes and the processes.
func (tr *trial) start(processes int) (err error) {
	if tr.dir, err = rig.TempDir(); err != nil {
		return err
	}
	if tr.traffic, err = rig.ReadTraffic(tr.cfg.Site); err != nil {
		return err
	}
	tr.engine = engine.New(func(string) time.Duration { return runTime })
	if tr.catalog, err = catalog.Start(); err != nil {
		return err
	}
	if tr.traffic.Calls {
		tr.engine.SetIndexCalls(true)
		if tr.index, err = index.Start(rig.IndexCallTime); err != nil {
			return err
		}
	}
	if tr.listen, err = rig.FreeAddr(); err != nil {
		return err
	}
	if processes > 0 {
		ln, err := net.Listen("tcp", tr.listen)
		if err != nil {
			return err
		}
		tr.shared = ln.(*net.TCPListener)
	}
	for range max(processes, 1) {
		if err := tr.startProcess(); err != nil {
			return err
		}
	}
	return nil
}

// startProcess starts a process and waits until it accepts clients.
func (tr *trial) startProcess() error {
	operators, err := rig.FreeAddr()
	if err != nil {
		return err
	}
	path, err := tr.writeConfig()
	if err != nil {
		return err
	}
	cmd := exec.Command(tr.cfg.Command[0], tr.cfg.Command[1:]...)
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+path, "RELAY_CONTROL="+operators, "TMPDIR="+tr.dir)
	if tr.shared != nil {
		f, err := tr.shared.File()
		if err != nil {
			return err
		}
		defer f.Close()
		cmd.ExtraFiles = []*os.File{f}
		cmd.Env = append(cmd.Env, "RELAY_INHERITED_FD=3")
	}
	process, err := rig.Start(cmd, nil)
	if err != nil {
		return err
	}
	tr.processes = append(tr.processes, process)
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(sampleInterval) {
		if _, err = operator.Call(operators, "check", time.Second); err == nil {
			return nil
		}
	}
	return fmt.Errorf("the process does not accept clients: %w: %s", err, process.Output())
}

// anyEnded reports whether a process has ended by itself.
func (tr *trial) anyEnded() bool {
	for _, p := range tr.processes {
		select {
		case <-p.Done():
			return true
		default:
		}
	}
	return false
}

// writeConfig writes the process's configuration and returns its path.
func (tr *trial) writeConfig() (path string, err error) {
	raw, err := os.ReadFile(tr.cfg.Site)
	if err != nil {
		return "", err
	}
	var config map[string]any
	if err := json.Unmarshal(raw, &config); err != nil {
		return "", err
	}
	address, err := tr.engine.Listen() // each process has one of its own
	if err != nil {
		return "", err
	}
	tr.addresses = append(tr.addresses, address)
	config["listen"], config["engine"], config["directory"] = tr.listen, address.String(), tr.catalog.String()
	if tr.index != nil {
		config["index"] = tr.index.String()
	}
	config["limits"] = map[string]any{"cores": 1.0, "memory_mb": tr.cfg.MemoryMB, "sockets": sockets}
	if raw, err = json.Marshal(config); err != nil {
		return "", err
	}
	path = filepath.Join(tr.dir, fmt.Sprintf("config-%d.json", len(tr.addresses)))
	return path, os.WriteFile(path, raw, 0o600)
}

// close ends the process and the fakes.
func (tr *trial) close() {
	for _, p := range tr.processes {
		p.Kill()
	}
	for _, a := range tr.addresses {
		a.Close()
	}
	if tr.shared != nil {
		tr.shared.Close()
	}
	if tr.catalog != nil {
		tr.catalog.Close()
	}
	if tr.index != nil {
		tr.index.Close()
	}
	os.RemoveAll(tr.dir)
}

// memoryKB returns the anonymous memory of all processes together.
func (tr *trial) memoryKB() (sum int) {
	for _, p := range tr.processes {
		sum += anonymousKB(p.Pid())
	}
	return sum
}

// anonymousKB returns the anonymous memory of a process, or 0 if it has ended.
func anonymousKB(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if value, found := strings.CutPrefix(line, "RssAnon:"); found {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb
		}
	}
	return 0
}

// readCounters sets what the processes say of their connections: the bytes that they have read, and why they ended connections.
func (tr *trial) readCounters() {
	for _, p := range tr.processes {
		for name, n := range counters(p) {
			reason, ended := strings.CutPrefix(name, "connections_ended_")
			switch {
			case name == "bytes_in":
				tr.result.Read += n
			case ended && n > 0:
				tr.result.Closed += fmt.Sprintf(" %s=%d", reason, n)
			}
		}
	}
}

// counters returns the counters that a process prints when it is asked to, or none if it does not answer.
func counters(p *rig.Process) map[string]int64 {
	values := map[string]int64{}
	if p.Signal(reportSignal) != nil {
		return values
	}
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(sampleInterval) {
		_, printed, found := strings.Cut(p.Output(), "counters: ")
		if !found {
			continue
		}
		for _, word := range strings.Fields(printed) {
			name, value, _ := strings.Cut(word, "=")
			if n, err := strconv.ParseInt(strings.TrimRight(value, "\"}"), 10, 64); err == nil {
				values[name] = n
			}
		}
		break
	}
	return values
}
