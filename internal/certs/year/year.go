package year

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/rs/zerolog"

	"cairnlane/internal/assert"
	"cairnlane/internal/certs"
	"cairnlane/internal/counters"
	"cairnlane/internal/decide/renewal"
	"cairnlane/internal/fake/authority"
	"cairnlane/internal/faultfs"
	"cairnlane/internal/front"
	"cairnlane/internal/replica"
	"cairnlane/internal/state/keystore"
	"cairnlane/internal/thrift"
)

// Config configures a simulation.
type Config struct {
	Seed     uint64
	Days     int
	Dir      string // folder of the certificate store
	Progress io.Writer
}

// Figures are the results of a simulation.
type Figures struct {
	Handshakes, HandshakesFailed         int
	Requests, EndedTwice, Lost, Swaps    int
	Expired                              time.Duration
	Orders, Issued, MostInAnHour         int
	Kills, Drains, FullDisks, ClockJumps int
	BaselineExpired                      time.Duration
	BaselineOrders, BaselineMostInWeek   int
	Took                                 time.Duration
	Points                               []Point
	Outages                              map[string]Script
}

// Point is the state of a certificate at an hour.
type Point struct {
	At     time.Time
	Name   string
	Left   time.Duration
	Alarm  string
	Outage string
}

// lifetimes are the simulated certificates, which one box manages at the same time.
var lifetimes = []struct {
	name      string
	life      time.Duration
	maxOutage time.Duration // longest fault at its first authority
}{{"quarter", 90 * day, 8 * day}, {"weeks", 45 * day, 5 * day}, {"days", 6 * day, 70 * time.Hour}}

// site is one certificate with its authorities.
type site struct {
	name        string
	host        string
	life        time.Duration
	script      Script
	authorities [2]*authority.Authority
	slow        [2]func() bool // reports whether the script makes that authority slow now
	roots       *x509.CertPool
	conn        *routerConn
	validUntil  time.Time // expiry of the certificate in use
	nextStep    time.Time // time of its manager's next step
}

// simulation is a running simulation of one box.
type simulation struct {
	cfg     Config
	rand    *rand.Rand
	now     atomic.Int64 // time of everything but the box
	offset  atomic.Int64 // offset of the box's clock from now
	sites   []*site
	files   *faultfs.Faulty
	replica *fakeReplica
	figures *Figures

	server            *front.Server
	tls               *front.TLS
	set               *certs.CertificateSet
	store             *keystore.Store
	challengeListener net.Listener
	responses         atomic.Pointer[certs.ChallengeResponses]
}

func (w *simulation) clock() time.Time    { return time.Unix(0, w.now.Load()).UTC() }
func (w *simulation) boxClock() time.Time { return time.Unix(0, w.now.Load()+w.offset.Load()).UTC() }

// fakeReplica keeps requests open until answerAll is called.
type fakeReplica struct {
	mu      sync.Mutex
	open    []replica.Request
	arrived chan struct{}
}

func (c *fakeReplica) Arrive(q replica.Request) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open = append(c.open, q)
	c.arrived <- struct{}{}
	return nil
}
func (c *fakeReplica) CountMalformed()               {}
func (c *fakeReplica) CallerGone(string)             {} // callers of the simulation do not cancel requests
func (c *fakeReplica) Healthy() bool                 { return true }
func (c *fakeReplica) CurrentSignal() replica.Signal { return replica.Signal{} }

func (c *fakeReplica) answerAll() {
	c.mu.Lock()
	open := c.open
	c.open = nil
	c.mu.Unlock()
	for _, q := range open {
		q.Reply.Answer(replica.Answer{Kind: replica.Served, Body: q.Body})
	}
}

// Timeouts in real time. callTimeout and pollTimeout are long enough for an authority that answers, even if the machine
// and its disk are busy: an attempt that times out would be missing from the results, because its retry comes only hours
// of simulated time later.
const (
	callTimeout = 30 * time.Second
	pollTimeout = 500 * time.Millisecond
	slowTimeout = 250 * time.Millisecond // after which a call to an authority that the script makes slow is canceled
)

// slowAbortTransport cancels calls to an authority after slowTimeout while the script makes the authority slow.
type slowAbortTransport struct {
	http.RoundTripper
	slow func() bool
}

// RoundTrip implements http.RoundTripper.
func (h slowAbortTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if !h.slow() {
		return h.RoundTripper.RoundTrip(r)
	}
	ctx, cancel := context.WithCancel(r.Context())
	timer := time.AfterFunc(slowTimeout, cancel)
	resp, err := h.RoundTripper.RoundTrip(r.WithContext(ctx))
	if !timer.Stop() && err == nil { // the context is canceled, so the body cannot be read to its end
		resp.Body.Close()
		return nil, context.DeadlineExceeded
	}
	return resp, err
}

// Run runs a simulation and returns its figures.
func Run(cfg Config) (*Figures, error) {
	startedAt := time.Now()
	w := &simulation{cfg: cfg, rand: rand.New(rand.NewPCG(cfg.Seed, 0x5ca1ab1e)), figures: &Figures{Outages: map[string]Script{}},
		replica: &fakeReplica{arrived: make(chan struct{}, 64)}, files: faultfs.NewFaulty()}
	start := time.Unix(1_764_576_000, 0)
	end := start.Add(time.Duration(cfg.Days) * day)
	w.now.Store(start.UnixNano())
	if err := w.startAuthorities(start, end); err != nil {
		return nil, err
	}
	defer w.close()
	if err := w.startProcess(); err != nil {
		return nil, err
	}
	if err := w.run(start, end); err != nil {
		return nil, err
	}
	for _, s := range w.sites {
		for _, ca := range s.authorities {
			w.figures.Orders += ca.CallCount(authority.OpOrder)
			w.figures.Issued += ca.IssuedCount()
			w.figures.MostInAnHour = max(w.figures.MostInAnHour, ca.MaxCallsPerHour())
		}
		expired, orders, maxInWeek := baseline(s.script, start, end, s.life)
		w.figures.BaselineExpired += expired
		w.figures.BaselineOrders += orders
		w.figures.BaselineMostInWeek = max(w.figures.BaselineMostInWeek, maxInWeek)
	}
	w.figures.Took = time.Since(startedAt)
	return w.figures, nil
}

// startAuthorities draws the scripts and starts the fake authorities and the listener that they validate at.
func (w *simulation) startAuthorities(start, end time.Time) error {
	var err error
	if w.challengeListener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return err
	}
	go http.Serve(w.challengeListener, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { w.responses.Load().ServeHTTP(rw, r) }))
	for _, l := range lifetimes {
		s := &site{name: l.name, host: l.name + ".site.example", life: l.life, roots: x509.NewCertPool()}
		s.script = drawScript(w.rand, start, end, l.maxOutage, l.life/3)
		second := drawScript(w.rand, start, end, 20*time.Hour, l.life/2)
		for i, script := range []Script{s.script, second} {
			s.slow[i] = func() bool { at := script.at(w.clock()); return at != nil && at.Kind == "slow" }
			s.authorities[i], err = authority.Start(authority.Config{Name: fmt.Sprint(l.name, i), Now: w.clock, Lifetime: l.life, Fault: script.Fault, OrdersPerHour: 20,
				Resolve: func(string, int) string { return w.challengeListener.Addr().String() }})
			if err != nil {
				return err
			}
			for _, c := range s.authorities[i].RootCertificates() {
				s.roots.AddCert(c)
			}
		}
		w.figures.Outages[l.name] = s.script
		w.sites = append(w.sites, s)
	}
	return nil
}

// close stops the box and the authorities.
func (w *simulation) close() {
	w.stopProcess(false)
	w.challengeListener.Close()
	for _, s := range w.sites {
		for _, ca := range s.authorities {
			if ca != nil {
				ca.Close()
			}
		}
	}
}

// startProcess starts the box: store, managers and listeners.
func (w *simulation) startProcess() error {
	var err error
	if w.store, err = keystore.Open(w.files, filepath.Join(w.cfg.Dir, "store")); err != nil {
		return err
	}
	responses := certs.NewChallengeResponses()
	w.responses.Store(responses)
	var managers []*certs.Manager
	for i, s := range w.sites {
		cfg := certs.Config{Name: s.name, Names: []string{s.host}, Challenge: certs.HTTP01, SelfSigned: false, Roots: s.roots, CallTimeout: callTimeout,
			PollTimeout: pollTimeout, PollInterval: 20 * time.Millisecond, Plan: renewal.Settings{WindowOffset: float64(i) / 3, Jitter: rand.New(rand.NewPCG(w.cfg.Seed, uint64(i))).Float64}}
		for j, ca := range s.authorities {
			cfg.Authorities = append(cfg.Authorities, certs.Authority{Name: fmt.Sprint(s.name, j), Directory: ca.URL(),
				HTTP: slowAbortTransport{&http.Transport{TLSClientConfig: &tls.Config{RootCAs: ca.Roots()}}, s.slow[j]}})
		}
		k, err := certs.New(cfg, w.store, responses, w.boxClock, zerolog.Nop())
		if err != nil {
			return err
		}
		managers, s.nextStep = append(managers, k), time.Time{}
	}
	w.set = certs.NewCertificateSet(responses, managers...)
	set := new(counters.Set)
	if w.server, err = front.Listen("127.0.0.1:0", 64, w.replica, func() time.Duration { return time.Duration(w.now.Load()) }, set); err != nil {
		return err
	}
	go w.server.Serve()
	if w.tls, err = w.server.ListenTLS("127.0.0.1:0", &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: w.set.GetCertificate}, set); err != nil {
		return err
	}
	go w.tls.Serve()
	return nil
}

// stopProcess stops the box, with a drain or without one, as after a kill.
func (w *simulation) stopProcess(drain bool) {
	if w.server == nil {
		return
	}
	w.tls.Close()
	w.server.Drain()
	if drain {
		w.replica.answerAll()
		for _, s := range w.sites {
			s.conn.readAnswer(w.figures, true)
		}
	}
	for _, s := range w.sites {
		s.conn.close()
		s.conn = nil
	}
	w.replica.answerAll()
	for end := time.Now().Add(5 * time.Second); !w.server.CloseQuiet() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	w.store.Close()
	w.server = nil
}

// run simulates the period hour by hour and draws kills, drains, full disks and clock jumps.
func (w *simulation) run(start, end time.Time) error {
	nextKill, nextDrain := start.Add(randomDuration(w.rand, 3*day, 12*day)), start.Add(randomDuration(w.rand, 5*day, 20*day))
	nextFullDisk, nextClockJump := start.Add(randomDuration(w.rand, 2*day, 15*day)), start.Add(randomDuration(w.rand, 20*day, 60*day))
	var diskFullUntil, clockJumpUntil time.Time
	for now := start; now.Before(end); now = now.Add(time.Hour) {
		if w.cfg.Progress != nil && int(now.Sub(start)/time.Hour)%(24*30) == 0 {
			fmt.Fprintf(w.cfg.Progress, "day %d of %d: %d handshakes, %d failed, %d swaps\n", int(now.Sub(start)/day), w.cfg.Days, w.figures.Handshakes, w.figures.HandshakesFailed, w.figures.Swaps)
		}
		w.now.Store(now.UnixNano())
		switch {
		case now.After(nextKill): // the process is killed at one of the next 30 store changes, which take days
			w.files.KillAt(w.files.OpCount()+w.rand.IntN(30), w.rand.IntN(300))
			nextKill = now.Add(randomDuration(w.rand, 6*day, 14*day))
		case now.After(nextDrain):
			w.figures.Drains++
			if err := w.restart(true); err != nil {
				return err
			}
			nextDrain = now.Add(randomDuration(w.rand, 8*day, 20*day))
		}
		if now.After(nextFullDisk) {
			w.figures.FullDisks++
			w.files.LimitSpace(w.rand.IntN(2000))
			diskFullUntil, nextFullDisk = now.Add(randomDuration(w.rand, time.Hour, 6*time.Hour)), now.Add(randomDuration(w.rand, 8*day, 20*day))
		}
		if !diskFullUntil.IsZero() && now.After(diskFullUntil) {
			w.files.LimitSpace(-1)
			diskFullUntil = time.Time{}
		}
		if now.After(nextClockJump) {
			w.figures.ClockJumps++
			w.offset.Store(int64([]time.Duration{-time.Hour, 30 * day}[w.figures.ClockJumps%2]))
			clockJumpUntil, nextClockJump = now.Add(3*time.Hour), now.Add(randomDuration(w.rand, 40*day, 90*day))
		}
		if !clockJumpUntil.IsZero() && now.After(clockJumpUntil) {
			w.offset.Store(0)
			clockJumpUntil = time.Time{}
		}
		if err := w.simulateHour(now, now.Sub(start) >= 2*time.Hour); err != nil {
			return err
		}
	}
	return nil
}

// restart stops the box and starts it again.
func (w *simulation) restart(drain bool) error {
	if drain {
		for _, s := range w.sites { // a request is in flight when the drain starts
			if s.conn != nil {
				s.conn.sendRequest(w)
			}
		}
	}
	w.stopProcess(drain)
	w.files = faultfs.NewFaulty()
	return w.startProcess()
}

// simulateHour sends a request on each connection, runs the due steps of the managers, makes a handshake for each
// certificate and answers the requests. count says whether handshakes and expiry are counted.
func (w *simulation) simulateHour(now time.Time, count bool) error {
	for _, s := range w.sites {
		if s.conn == nil && !s.validUntil.IsZero() {
			s.conn = w.dial(s)
		}
		if s.conn != nil {
			s.conn.sendRequest(w)
		}
	}
	killed := false
	for i, s := range w.sites {
		k := w.set.Managers()[i]
		for steps := 0; steps < 50 && !s.nextStep.After(w.boxClock()); steps++ {
			s.nextStep = k.Step(context.Background())
		}
		if s.nextStep.After(w.boxClock().Add(6 * time.Hour)) {
			s.nextStep = w.boxClock().Add(6 * time.Hour) // the box's clock may step back
		}
		killed = killed || w.files.Killed()
	}
	for i, s := range w.sites {
		if cert := w.set.Managers()[i].Current(); cert != nil {
			if !cert.Leaf.NotAfter.Equal(s.validUntil) && !s.validUntil.IsZero() {
				w.figures.Swaps++
			}
			s.validUntil = cert.Leaf.NotAfter
		}
		if count {
			if now.After(s.validUntil) {
				w.figures.Expired += time.Hour
			}
			w.handshake(s)
		}
		left := time.Duration(0)
		if !s.validUntil.IsZero() {
			left = s.validUntil.Sub(now)
		}
		p := Point{At: now, Name: s.name, Left: left, Alarm: w.set.Managers()[i].Status().Alarm}
		if o := s.script.at(now); o != nil {
			p.Outage = o.Kind
		}
		w.figures.Points = append(w.figures.Points, p)
	}
	if killed { // requests in flight at a kill are lost with the process
		w.figures.Kills++
		return w.restart(false)
	}
	w.replica.answerAll()
	for _, s := range w.sites {
		s.conn.readAnswer(w.figures, false)
	}
	return nil
}

// handshake opens a new connection with a full handshake and counts the result.
func (w *simulation) handshake(s *site) {
	w.figures.Handshakes++
	c, err := tls.Dial("tcp", w.tls.Addr(), w.clientConfig(s))
	if err != nil {
		w.figures.HandshakesFailed++
		if w.cfg.Progress != nil {
			fmt.Fprintf(w.cfg.Progress, "%v: handshake with %s: %v\n", w.clock(), s.host, err)
		}
		return
	}
	c.Close()
}

func (w *simulation) clientConfig(s *site) *tls.Config {
	return &tls.Config{ServerName: s.host, RootCAs: s.roots, Time: w.clock}
}

// routerConn is a router's connection that stays open over renewals.
type routerConn struct {
	*tls.Conn
	seq, pendingSeq int32
	in              []byte
}

func (w *simulation) dial(s *site) *routerConn {
	c, err := tls.Dial("tcp", w.tls.Addr(), w.clientConfig(s))
	if err != nil {
		return nil
	}
	return &routerConn{Conn: c}
}

// sendRequest sends a request, unless one is pending, and waits up to 10 s until the replica has received it.
func (p *routerConn) sendRequest(w *simulation) {
	if p == nil || p.pendingSeq > 0 {
		return
	}
	p.seq++
	p.pendingSeq = p.seq
	w.figures.Requests++
	p.Write(encodeCall("serve", p.seq))
	select {
	case <-w.replica.arrived:
	case <-time.After(10 * time.Second):
	}
}

// readAnswer reads the answer to the pending request. A health check sent behind it shows that no second answer follows.
func (p *routerConn) readAnswer(figures *Figures, draining bool) {
	if p == nil || p.pendingSeq == 0 {
		return
	}
	want := p.pendingSeq
	p.pendingSeq = 0
	p.seq++
	p.Write(encodeCall("isWell", p.seq))
	p.SetDeadline(time.Now().Add(10 * time.Second))
	defer p.SetDeadline(time.Time{})
	got := 0
	for {
		h, err := p.readHeader()
		switch {
		case err != nil:
			if got == 0 {
				figures.Lost++
			}
			return
		case h.Seq == want:
			got++
			if got > 1 {
				figures.EndedTwice++
			}
		case h.Seq == p.seq:
			if got == 0 {
				figures.Lost++
			}
			return
		}
	}
}

func (p *routerConn) readHeader() (thrift.Header, error) {
	buf := make([]byte, 4096)
	for {
		frame, rest, err := thrift.Frame(p.in)
		if err != nil {
			return thrift.Header{}, err
		}
		if frame != nil {
			p.in = rest
			return thrift.NewReader(frame).Header(), nil
		}
		n, err := p.Read(buf)
		if err != nil {
			return thrift.Header{}, err
		}
		p.in = append(p.in, buf[:n]...)
	}
}

func (p *routerConn) close() {
	if p != nil {
		p.Close()
	}
}

// encodeCall returns the frame of a router's call.
func encodeCall(name string, seq int32) []byte {
	return thrift.AppendFrame(nil, func(b []byte) []byte {
		b = thrift.AppendHeader(b, thrift.Header{Type: thrift.Call, Name: name, Seq: seq})
		if name == "serve" {
			b = thrift.AppendStringMap(thrift.AppendField(b, thrift.Map, 1), [][2]string{{"verb", "page"}, {"txn", fmt.Sprintf("%016x", seq)}, {"door", "1764576000000"},
				{"lb", "1"}, {"team", "x"}, {"limit", "480"}, {"ram", "9"}, {"standing", "0.5"}})
			b = thrift.AppendString(thrift.AppendField(b, thrift.String, 2), "body")
		}
		return thrift.AppendStop(b)
	})
}

// Table prints the least remaining lifetime, the hours with faults and the hours in alarm of each certificate.
func (f *Figures) Table(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "CERTIFICATE\tLIFETIME\tLEAST LEFT\tHOURS OF FAULTS\tHOURS IN ALARM")
	for _, l := range lifetimes {
		least, faults, alarm := l.life, 0, 0
		for _, p := range f.Points {
			if p.Name != l.name {
				continue
			}
			if p.Left > 0 {
				least = min(least, p.Left)
			}
			if p.Outage != "" {
				faults++
			}
			if p.Alarm != renewal.NoAlarm.String() && p.Alarm != renewal.Notice.String() {
				alarm++
			}
		}
		fmt.Fprintf(t, "%s\t%.0f days\t%.1f days\t%d\t%d\n", l.name, l.life.Hours()/24, least.Hours()/24, faults, alarm)
	}
	t.Flush()
}

// MissedBounds returns the names of the missed bounds.
func (f *Figures) MissedBounds() (list []string) {
	for what, bad := range map[string]bool{"handshakes_failed": f.HandshakesFailed > 0, "ended_twice": f.EndedTwice > 0, "lost": f.Lost > 0, "expired_s": f.Expired > 0,
		"most_calls_in_an_hour over 150": f.MostInAnHour > 150, "invariants_broken": assert.Failures() > 0, "no handshakes": f.Handshakes == 0, "no swaps": f.Swaps == 0,
		"no requests": f.Requests == 0} {
		if bad {
			list = append(list, what)
		}
	}
	return list
}

// String returns the line of figures.
func (f *Figures) String() string {
	per := 0.0
	if f.Issued > 0 {
		per = float64(f.Orders) / float64(f.Issued)
	}
	return fmt.Sprintf("figures: handshakes=%d handshakes_failed=%d requests=%d ended_twice=%d lost=%d expired_s=%.0f swaps=%d orders_asked=%d issued=%d "+
		"orders_per_certificate=%.2f most_calls_in_an_hour=%d kills=%d drains=%d full_disks=%d clock_jumps=%d baseline_expired_s=%.0f baseline_orders=%d "+
		"baseline_most_in_a_week=%d invariants_broken=%d took_s=%.0f",
		f.Handshakes, f.HandshakesFailed, f.Requests, f.EndedTwice, f.Lost, f.Expired.Seconds(), f.Swaps, f.Orders, f.Issued, per, f.MostInAnHour, f.Kills, f.Drains,
		f.FullDisks, f.ClockJumps, f.BaselineExpired.Seconds(), f.BaselineOrders, f.BaselineMostInWeek, assert.Failures(), f.Took.Seconds())
}

// WriteCSV writes the points as a CSV table.
func (f *Figures) WriteCSV(path string) error {
	out, err := os.Create(path)
	if err != nil {
		return err
	}
	c := csv.NewWriter(out)
	c.Write([]string{"time", "certificate", "hours_left", "alarm", "outage_at_first_authority"})
	for _, p := range f.Points {
		c.Write([]string{p.At.UTC().Format(time.RFC3339), p.Name, fmt.Sprintf("%.0f", p.Left.Hours()), p.Alarm, p.Outage})
	}
	c.Flush()
	return errors.Join(c.Error(), out.Close())
}
