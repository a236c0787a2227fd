// Package members weighs two ways of knowing who is there: gossip by hashicorp/memberlist, over a transport of ours, and the
// sessions that the ledger holds anyway. It is a measurement and no part of the program.
package members

import (
	"fmt"
	"io"
	"log"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"cairnlane/internal/decide/lease"
	"cairnlane/internal/lab/fleetsim"
)

// Figures are those of one way at one size.
type Figures struct {
	Way          string
	Names        int
	MessagesBox  float64 // a second
	BytesBox     float64
	FirstNotices time.Duration // after a death: the first box
	AllNotice    time.Duration // and the last
	FalseAlarms  int           // boxes that were taken for dead by some other, with a fifth of the boxes slow
}

func (f Figures) String() string {
	return fmt.Sprintf("way=%s names=%d messages_box=%.1f bytes_box=%.0f first_notices_ms=%d all_notice_ms=%d false_alarms=%d", f.Way, f.Names, f.MessagesBox, f.BytesBox, f.FirstNotices.Milliseconds(), f.AllNotice.Milliseconds(), f.FalseAlarms)
}

// slowBy is by how much what a slow box says comes late.
const slowBy = 700 * time.Millisecond

// counted is a transport that counts, and that is slow if it is told so.
type counted struct {
	*memberlist.MockTransport
	messages, bytes *atomic.Int64
	slow            *atomic.Bool
	dead            *atomic.Bool
}

func (c counted) WriteTo(b []byte, addr string) (time.Time, error) {
	return c.WriteToAddress(b, memberlist.Address{Addr: addr})
}

func (c counted) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	if c.dead.Load() {
		return time.Now(), nil
	}
	c.messages.Add(1)
	c.bytes.Add(int64(len(b)))
	if c.slow.Load() {
		p := append([]byte(nil), b...)
		time.AfterFunc(slowBy, func() { c.MockTransport.WriteToAddress(p, a) })
		return time.Now(), nil
	}
	return c.MockTransport.WriteToAddress(b, a)
}

func (c counted) DialAddressTimeout(a memberlist.Address, t time.Duration) (net.Conn, error) {
	if c.dead.Load() {
		return nil, io.ErrClosedPipe
	}
	return c.MockTransport.DialAddressTimeout(a, t)
}

// watch counts who was taken for dead, and when each box noticed a death.
type watch struct {
	mu      sync.Mutex
	gone    map[string]bool // taken for dead by somebody
	victim  string
	killed  time.Time
	notices []time.Duration
}

type seen struct{ *watch }

func (s seen) NotifyJoin(*memberlist.Node)   {}
func (s seen) NotifyUpdate(*memberlist.Node) {}
func (s seen) NotifyLeave(n *memberlist.Node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n.Name == s.victim {
		s.notices = append(s.notices, time.Since(s.killed))
		return
	}
	s.gone[n.Name] = true
}

// Gossip measures memberlist with its settings for a local network.
func Gossip(names int, span time.Duration) (f Figures, err error) {
	f = Figures{Way: "memberlist", Names: names}
	var network memberlist.MockNetwork
	var messages, bytes atomic.Int64
	w := &watch{gone: map[string]bool{}}
	slow, dead := make([]atomic.Bool, names), make([]atomic.Bool, names)
	var list []*memberlist.Memberlist
	defer func() {
		for i, m := range list {
			dead[i].Store(true)
			m.Shutdown()
		}
	}()
	for i := range names {
		cfg := memberlist.DefaultLANConfig()
		cfg.Name = fmt.Sprintf("n%d", i)
		cfg.Transport = counted{network.NewTransport(cfg.Name), &messages, &bytes, &slow[i], &dead[i]}
		cfg.Events = seen{w}
		cfg.Logger = log.New(io.Discard, "", 0)
		m, err := memberlist.Create(cfg)
		if err != nil {
			return f, err
		}
		list = append(list, m)
		if i > 0 {
			if _, err := m.Join([]string{list[0].LocalNode().Address()}); err != nil {
				return f, err
			}
		}
	}
	time.Sleep(5 * time.Second)
	messages.Store(0)
	bytes.Store(0)
	time.Sleep(span)
	f.MessagesBox, f.BytesBox = float64(messages.Load())/span.Seconds()/float64(names), float64(bytes.Load())/span.Seconds()/float64(names)
	w.mu.Lock()
	w.victim, w.killed, w.notices = fmt.Sprintf("n%d", names-1), time.Now(), nil
	w.mu.Unlock()
	dead[names-1].Store(true)
	list[names-1].Shutdown()
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		w.mu.Lock()
		n := len(w.notices)
		if n > 0 && f.FirstNotices == 0 {
			f.FirstNotices = w.notices[0]
		}
		if n >= names-1 {
			f.AllNotice = w.notices[n-1]
			w.mu.Unlock()
			break
		}
		w.mu.Unlock()
	}
	w.mu.Lock()
	clear(w.gone)
	w.mu.Unlock()
	for i := range names / 5 {
		slow[i].Store(true)
	}
	time.Sleep(2 * span)
	w.mu.Lock()
	f.FalseAlarms = len(w.gone)
	w.mu.Unlock()
	return f, nil
}

// Sessions measures those of the ledger, in virtual time, with the term at which leases run.
func Sessions(names int, term time.Duration) Figures {
	s := fleetsim.Members(names, term, slowBy)
	return Figures{Way: "sessions", Names: names, MessagesBox: s.MessagesBox, BytesBox: s.BytesBox, FirstNotices: s.FirstNotices, AllNotice: s.AllNotice, FalseAlarms: s.FalseAlarms}
}

// Terms are the leases' usual ones.
var Terms = lease.Terms{Term: 10 * time.Second, Drift: 0.01}
