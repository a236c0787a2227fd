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
	"cairnlane/internal/faultfs"
	"cairnlane/internal/front"
	"cairnlane/internal/replica"
	"cairnlane/internal/standin/authority"
	"cairnlane/internal/state/keystore"
	"cairnlane/internal/thrift"
)

// Config is what a year is played with.
type Config struct {
	Seed     uint64
	Days     int
	Dir      string // for the store
	Progress io.Writer
}

// Figures are what a year came to.
type Figures struct {
	Handshakes, HandshakesFailed       int
	Requests, EndedTwice, Lost, Swaps  int
	Expired                            time.Duration
	Orders, Issued, MostInAnHour       int
	Kills, Drains, FullDisks, Jumps    int
	BaselineExpired                    time.Duration
	BaselineOrders, BaselineMostInWeek int
	Took                               time.Duration
	Points                             []Point
	Outages                            map[string]Script
}

// Point is how a certificate stood at an hour.
type Point struct {
	At     time.Time
	Name   string
	Left   time.Duration
	Alarm  string
	Outage string
}

// lifetimes are those of the certificates that are kept side by side.
var lifetimes = []struct {
	name string
	life time.Duration
	most time.Duration // the longest fault at its first authority
}{{"quarter", 90 * day, 8 * day}, {"weeks", 45 * day, 5 * day}, {"days", 6 * day, 70 * time.Hour}}

// site is one certificate with its authorities.
type site struct {
	name   string
	host   string
	life   time.Duration
	script Script
	ca     [2]*authority.Authority
	slow   [2]func() bool // whether the script makes that one slow now
	roots  *x509.CertPool
	conn   *peer
	good   time.Time // until when what is served is good
	next   time.Time // when its keeper is due
}

// world is a box in its year.
type world struct {
	cfg    Config
	rand   *rand.Rand
	now    atomic.Int64 // of everybody else
	offset atomic.Int64 // of the box's clock
	sites  []*site
	files  *faultfs.Faulty
	core   *core
	fig    *Figures

	server *front.Server
	tls    *front.TLS
	set    *certs.Set
	store  *keystore.Store
	plain  net.Listener
	ans    atomic.Pointer[certs.Answers]
}

func (w *world) clock() time.Time    { return time.Unix(0, w.now.Load()).UTC() }
func (w *world) boxClock() time.Time { return time.Unix(0, w.now.Load()+w.offset.Load()).UTC() }

// core keeps requests open until it is told to answer them.
type core struct {
	mu   sync.Mutex
	open []replica.Request
	came chan struct{}
}

func (c *core) Arrive(q replica.Request) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open = append(c.open, q)
	c.came <- struct{}{}
	return nil
}
func (c *core) CountMalformed()               {}
func (c *core) CallerGone(string)             {} // callers of the year do not give up
func (c *core) Healthy() bool                 { return true }
func (c *core) CurrentSignal() replica.Signal { return replica.Signal{} }

func (c *core) answer() {
	c.mu.Lock()
	open := c.open
	c.open = nil
	c.mu.Unlock()
	for _, q := range open {
		q.Reply.Answer(replica.Answer{Kind: replica.Served, Body: q.Body})
	}
}

// Real times. callTime and pollTime are never reached by an authority that answers, however busy the machine and its
// disk are: an attempt that ran out of them would be missing in the year, and rests for hours of it.
const (
	callTime  = 30 * time.Second
	pollTime  = 500 * time.Millisecond
	slowAfter = 250 * time.Millisecond // when an authority that the script makes slow is given up on
)

// hasty reaches an authority and gives up on it early, while the script makes it slow.
type hasty struct {
	http.RoundTripper
	slow func() bool
}

// RoundTrip implements http.RoundTripper.
func (h hasty) RoundTrip(r *http.Request) (*http.Response, error) {
	if !h.slow() {
		return h.RoundTripper.RoundTrip(r)
	}
	ctx, cancel := context.WithCancel(r.Context())
	timer := time.AfterFunc(slowAfter, cancel)
	resp, err := h.RoundTripper.RoundTrip(r.WithContext(ctx))
	if !timer.Stop() && err == nil { // its body would be cut off
		resp.Body.Close()
		return nil, context.DeadlineExceeded
	}
	return resp, err
}

// Run plays a year and counts.
func Run(cfg Config) (*Figures, error) {
	began := time.Now()
	w := &world{cfg: cfg, rand: rand.New(rand.NewPCG(cfg.Seed, 0x5ca1ab1e)), fig: &Figures{Outages: map[string]Script{}},
		core: &core{came: make(chan struct{}, 64)}, files: faultfs.NewFaulty()}
	start := time.Unix(1_764_576_000, 0)
	end := start.Add(time.Duration(cfg.Days) * day)
	w.now.Store(start.UnixNano())
	if err := w.outside(start, end); err != nil {
		return nil, err
	}
	defer w.away()
	if err := w.up(); err != nil {
		return nil, err
	}
	if err := w.play(start, end); err != nil {
		return nil, err
	}
	for _, s := range w.sites {
		for _, ca := range s.ca {
			w.fig.Orders += ca.Calls(authority.OpOrder)
			w.fig.Issued += ca.Issued()
			w.fig.MostInAnHour = max(w.fig.MostInAnHour, ca.MostInAnHour())
		}
		expired, orders, most := baseline(s.script, start, end, s.life)
		w.fig.BaselineExpired += expired
		w.fig.BaselineOrders += orders
		w.fig.BaselineMostInWeek = max(w.fig.BaselineMostInWeek, most)
	}
	w.fig.Took = time.Since(began)
	return w.fig, nil
}

// outside starts what is not the box: authorities, and the listener that they validate at.
func (w *world) outside(start, end time.Time) error {
	var err error
	if w.plain, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return err
	}
	go http.Serve(w.plain, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { w.ans.Load().ServeHTTP(rw, r) }))
	for _, l := range lifetimes {
		s := &site{name: l.name, host: l.name + ".site.example", life: l.life, roots: x509.NewCertPool()}
		s.script = draw(w.rand, start, end, l.most, l.life/3)
		second := draw(w.rand, start, end, 20*time.Hour, l.life/2)
		for i, script := range []Script{s.script, second} {
			s.slow[i] = func() bool { at := script.at(w.clock()); return at != nil && at.Kind == "slow" }
			s.ca[i], err = authority.Start(authority.Config{Name: fmt.Sprint(l.name, i), Now: w.clock, Lifetime: l.life, Fault: script.Fault, PerHour: 20,
				Resolve: func(string, int) string { return w.plain.Addr().String() }})
			if err != nil {
				return err
			}
			for _, c := range s.ca[i].Certificates() {
				s.roots.AddCert(c)
			}
		}
		w.fig.Outages[l.name] = s.script
		w.sites = append(w.sites, s)
	}
	return nil
}

func (w *world) away() {
	w.down(false)
	w.plain.Close()
	for _, s := range w.sites {
		for _, ca := range s.ca {
			if ca != nil {
				ca.Close()
			}
		}
	}
}

// up starts the box's process.
func (w *world) up() error {
	var err error
	if w.store, err = keystore.Open(w.files, filepath.Join(w.cfg.Dir, "store")); err != nil {
		return err
	}
	ans := certs.NewAnswers()
	w.ans.Store(ans)
	var keepers []*certs.Keeper
	for i, s := range w.sites {
		cfg := certs.Config{Name: s.name, Names: []string{s.host}, Challenge: certs.HTTP01, SelfSigned: false, Roots: s.roots, CallTime: callTime,
			PollTime: pollTime, PollEvery: 20 * time.Millisecond, Plan: renewal.Settings{Place: float64(i) / 3, Jitter: rand.New(rand.NewPCG(w.cfg.Seed, uint64(i))).Float64}}
		for j, ca := range s.ca {
			cfg.Authorities = append(cfg.Authorities, certs.Authority{Name: fmt.Sprint(s.name, j), Directory: ca.URL(),
				HTTP: hasty{&http.Transport{TLSClientConfig: &tls.Config{RootCAs: ca.Roots()}}, s.slow[j]}})
		}
		k, err := certs.New(cfg, w.store, ans, w.boxClock, zerolog.Nop())
		if err != nil {
			return err
		}
		keepers, s.next = append(keepers, k), time.Time{}
	}
	w.set = certs.NewSet(ans, keepers...)
	set := new(counters.Set)
	if w.server, err = front.Listen("127.0.0.1:0", 64, w.core, func() time.Duration { return time.Duration(w.now.Load()) }, set); err != nil {
		return err
	}
	go w.server.Serve()
	if w.tls, err = w.server.ListenTLS("127.0.0.1:0", &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: w.set.GetCertificate}, set); err != nil {
		return err
	}
	go w.tls.Serve()
	return nil
}

// down ends the process, by a drain or as a kill does.
func (w *world) down(drain bool) {
	if w.server == nil {
		return
	}
	w.tls.Close()
	w.server.Leave()
	if drain {
		w.core.answer()
		for _, s := range w.sites {
			s.conn.finish(w.fig, true)
		}
	}
	for _, s := range w.sites {
		s.conn.close()
		s.conn = nil
	}
	w.core.answer()
	for end := time.Now().Add(5 * time.Second); !w.server.Close() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	w.store.Close()
	w.server = nil
}

// play goes through the year hour by hour.
func (w *world) play(start, end time.Time) error {
	nextKill, nextDrain := start.Add(span(w.rand, 3*day, 12*day)), start.Add(span(w.rand, 5*day, 20*day))
	nextFull, nextJump := start.Add(span(w.rand, 2*day, 15*day)), start.Add(span(w.rand, 20*day, 60*day))
	var fullTo, jumpTo time.Time
	for now := start; now.Before(end); now = now.Add(time.Hour) {
		if w.cfg.Progress != nil && int(now.Sub(start)/time.Hour)%(24*30) == 0 {
			fmt.Fprintf(w.cfg.Progress, "day %d of %d: %d handshakes, %d failed, %d swaps\n", int(now.Sub(start)/day), w.cfg.Days, w.fig.Handshakes, w.fig.HandshakesFailed, w.fig.Swaps)
		}
		w.now.Store(now.UnixNano())
		switch {
		case now.After(nextKill): // it dies at some change of the store, in the next days
			w.files.KillAt(w.files.Ops()+w.rand.IntN(30), w.rand.IntN(300))
			nextKill = now.Add(span(w.rand, 6*day, 14*day))
		case now.After(nextDrain):
			w.fig.Drains++
			if err := w.restart(true); err != nil {
				return err
			}
			nextDrain = now.Add(span(w.rand, 8*day, 20*day))
		}
		if now.After(nextFull) {
			w.fig.FullDisks++
			w.files.Room(w.rand.IntN(2000))
			fullTo, nextFull = now.Add(span(w.rand, time.Hour, 6*time.Hour)), now.Add(span(w.rand, 8*day, 20*day))
		}
		if !fullTo.IsZero() && now.After(fullTo) {
			w.files.Room(-1)
			fullTo = time.Time{}
		}
		if now.After(nextJump) {
			w.fig.Jumps++
			w.offset.Store(int64([]time.Duration{-time.Hour, 30 * day}[w.fig.Jumps%2]))
			jumpTo, nextJump = now.Add(3*time.Hour), now.Add(span(w.rand, 40*day, 90*day))
		}
		if !jumpTo.IsZero() && now.After(jumpTo) {
			w.offset.Store(0)
			jumpTo = time.Time{}
		}
		if err := w.hour(now, now.Sub(start) >= 2*time.Hour); err != nil {
			return err
		}
	}
	return nil
}

// restart ends the process and starts it anew.
func (w *world) restart(drain bool) error {
	if drain {
		for _, s := range w.sites { // a request is open when the notice to leave comes
			if s.conn != nil {
				s.conn.begin(w)
			}
		}
	}
	w.down(drain)
	w.files = faultfs.NewFaulty()
	return w.up()
}

// hour opens a request on each connection, has the keepers do what is due, shakes hands, and answers the requests.
func (w *world) hour(now time.Time, counts bool) error {
	for _, s := range w.sites {
		if s.conn == nil && !s.good.IsZero() {
			s.conn = w.dial(s)
		}
		if s.conn != nil {
			s.conn.begin(w)
		}
	}
	killed := false
	for i, s := range w.sites {
		k := w.set.Keepers()[i]
		for steps := 0; steps < 50 && !s.next.After(w.boxClock()); steps++ {
			s.next = k.Step(context.Background())
		}
		if s.next.After(w.boxClock().Add(6 * time.Hour)) {
			s.next = w.boxClock().Add(6 * time.Hour) // its clock may step back
		}
		killed = killed || w.files.Dead()
	}
	for i, s := range w.sites {
		if cert := w.set.Keepers()[i].Current(); cert != nil {
			if !cert.Leaf.NotAfter.Equal(s.good) && !s.good.IsZero() {
				w.fig.Swaps++
			}
			s.good = cert.Leaf.NotAfter
		}
		if counts {
			if now.After(s.good) {
				w.fig.Expired += time.Hour
			}
			w.shake(s)
		}
		left := time.Duration(0)
		if !s.good.IsZero() {
			left = s.good.Sub(now)
		}
		p := Point{At: now, Name: s.name, Left: left, Alarm: w.set.Keepers()[i].Status().Alarm}
		if o := s.script.at(now); o != nil {
			p.Outage = o.Kind
		}
		w.fig.Points = append(w.fig.Points, p)
	}
	if killed { // what was open at a kill is lost with the process, as on any machine
		w.fig.Kills++
		return w.restart(false)
	}
	w.core.answer()
	for _, s := range w.sites {
		s.conn.finish(w.fig, false)
	}
	return nil
}

// shake makes a new connection with a full handshake.
func (w *world) shake(s *site) {
	w.fig.Handshakes++
	c, err := tls.Dial("tcp", w.tls.Addr(), w.client(s))
	if err != nil {
		w.fig.HandshakesFailed++
		if w.cfg.Progress != nil {
			fmt.Fprintf(w.cfg.Progress, "%v: handshake with %s: %v\n", w.clock(), s.host, err)
		}
		return
	}
	c.Close()
}

func (w *world) client(s *site) *tls.Config {
	return &tls.Config{ServerName: s.host, RootCAs: s.roots, Time: w.clock}
}

// peer is a router's connection that lives on over swaps.
type peer struct {
	*tls.Conn
	seq, waits int32
	in         []byte
}

func (w *world) dial(s *site) *peer {
	c, err := tls.Dial("tcp", w.tls.Addr(), w.client(s))
	if err != nil {
		return nil
	}
	return &peer{Conn: c}
}

// begin writes a request and waits until it was taken.
func (p *peer) begin(w *world) {
	if p == nil || p.waits > 0 {
		return
	}
	p.seq++
	p.waits = p.seq
	w.fig.Requests++
	p.Write(call("serve", p.seq))
	select {
	case <-w.core.came:
	case <-time.After(10 * time.Second):
	}
}

// finish reads the answer, and with a health check behind it that there is no second one.
func (p *peer) finish(fig *Figures, leaving bool) {
	if p == nil || p.waits == 0 {
		return
	}
	want := p.waits
	p.waits = 0
	p.seq++
	p.Write(call("isWell", p.seq))
	p.SetDeadline(time.Now().Add(10 * time.Second))
	defer p.SetDeadline(time.Time{})
	got := 0
	for {
		h, err := p.next()
		switch {
		case err != nil:
			if got == 0 {
				fig.Lost++
			}
			return
		case h.Seq == want:
			got++
			if got > 1 {
				fig.EndedTwice++
			}
		case h.Seq == p.seq:
			if got == 0 {
				fig.Lost++
			}
			return
		}
	}
}

func (p *peer) next() (thrift.Header, error) {
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

func (p *peer) close() {
	if p != nil {
		p.Close()
	}
}

// call is a message of a router.
func call(name string, seq int32) []byte {
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

// Table prints how each certificate fared, beside the baseline under the same faults.
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
			if p.Alarm != renewal.Calm.String() && p.Alarm != renewal.Notice.String() {
				alarm++
			}
		}
		fmt.Fprintf(t, "%s\t%.0f days\t%.1f days\t%d\t%d\n", l.name, l.life.Hours()/24, least.Hours()/24, faults, alarm)
	}
	t.Flush()
}

// Missed lists the bounds that were missed.
func (f *Figures) Missed() (list []string) {
	for what, bad := range map[string]bool{"handshakes_failed": f.HandshakesFailed > 0, "ended_twice": f.EndedTwice > 0, "lost": f.Lost > 0, "expired_s": f.Expired > 0,
		"most_calls_in_an_hour over 150": f.MostInAnHour > 150, "invariants_broken": assert.Failures() > 0, "no handshakes": f.Handshakes == 0, "no swaps": f.Swaps == 0,
		"no requests": f.Requests == 0} {
		if bad {
			list = append(list, what)
		}
	}
	return list
}

// String is the figures line.
func (f *Figures) String() string {
	per := 0.0
	if f.Issued > 0 {
		per = float64(f.Orders) / float64(f.Issued)
	}
	return fmt.Sprintf("figures: handshakes=%d handshakes_failed=%d requests=%d ended_twice=%d lost=%d expired_s=%.0f swaps=%d orders_asked=%d issued=%d "+
		"orders_per_certificate=%.2f most_calls_in_an_hour=%d kills=%d drains=%d full_disks=%d clock_jumps=%d baseline_expired_s=%.0f baseline_orders=%d "+
		"baseline_most_in_a_week=%d invariants_broken=%d took_s=%.0f",
		f.Handshakes, f.HandshakesFailed, f.Requests, f.EndedTwice, f.Lost, f.Expired.Seconds(), f.Swaps, f.Orders, f.Issued, per, f.MostInAnHour, f.Kills, f.Drains,
		f.FullDisks, f.Jumps, f.BaselineExpired.Seconds(), f.BaselineOrders, f.BaselineMostInWeek, assert.Failures(), f.Took.Seconds())
}

// WriteCSV keeps the points as a table.
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
