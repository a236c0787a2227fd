package rig

import (
	"net"
	"sync"
	"time"
)

// Flow is what happens to the bytes of one direction between two boxes.
type Flow struct {
	Cut    bool          // they are lost: what has come so far is thrown away, and the connection stays open
	Hold   bool          // they wait
	Delay  time.Duration // they come so much later
	Rate   int           // bytes a second; 0 is as fast as it goes
	Refuse bool          // connections in this direction are closed at once
	Break  bool          // the next piece is cut in its middle and the connection closed
}

// Net is all relays between boxes: one for each direction in which a box may call another. A process reaches a peer only
// through its relay, and what is scripted for a direction holds for the bytes that go in it, whoever has called.
type Net struct {
	mu     sync.Mutex
	flows  map[[2]int]Flow
	wake   chan struct{} // closed at each change
	relays []*relay
	closed bool
	lost   int // bytes
}

// Lost is how many bytes were thrown away.
func (n *Net) Lost() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lost
}

type relay struct {
	net      *Net
	from, to int
	ln       net.Listener
	target   func() string
}

// NewNet returns a net without relays.
func NewNet() *Net { return &Net{flows: map[[2]int]Flow{}, wake: make(chan struct{})} }

// Relay opens the way from a box to another one, whose own address target tells.
func (n *Net) Relay(from, to int, target func() string) (addr string, err error) {
	r := &relay{net: n, from: from, to: to, target: target}
	if r.ln, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return "", err
	}
	n.mu.Lock()
	n.relays = append(n.relays, r)
	n.mu.Unlock()
	go r.accept()
	return r.ln.Addr().String(), nil
}

// Set scripts a direction.
func (n *Net) Set(from, to int, change func(*Flow)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f := n.flows[[2]int{from, to}]
	change(&f)
	n.flows[[2]int{from, to}] = f
	close(n.wake)
	n.wake = make(chan struct{})
}

func (n *Net) flow(from, to int) (Flow, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.flows[[2]int{from, to}], n.wake
}

// Heal ends all that is scripted.
func (n *Net) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.flows)
	close(n.wake)
	n.wake = make(chan struct{})
}

// Close ends all relays.
func (n *Net) Close() {
	n.mu.Lock()
	n.closed = true
	list := n.relays
	n.mu.Unlock()
	for _, r := range list {
		r.ln.Close()
	}
	n.Heal()
}

func (r *relay) accept() {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		go r.carry(c)
	}
}

func (r *relay) carry(c net.Conn) {
	defer c.Close()
	if f, _ := r.net.flow(r.from, r.to); f.Refuse {
		return
	}
	o, err := net.DialTimeout("tcp", r.target(), time.Second)
	if err != nil {
		return
	}
	defer o.Close()
	var both sync.WaitGroup
	both.Go(func() { r.net.pump(c, o, r.from, r.to); c.Close(); o.Close() })
	both.Go(func() { r.net.pump(o, c, r.to, r.from); c.Close(); o.Close() })
	both.Wait()
}

// piece is what was read at a time.
type piece struct {
	data []byte
	at   time.Time
}

// pump carries one direction. Reading goes on while pieces wait for their time, up to a bound.
func (n *Net) pump(from, to net.Conn, a, b int) {
	pieces := make(chan piece, 64)
	ended := make(chan struct{})
	go func() {
		defer close(pieces)
		for {
			buf := make([]byte, 32<<10)
			k, err := from.Read(buf)
			if k > 0 {
				select {
				case pieces <- piece{buf[:k], time.Now()}:
				case <-ended:
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	defer close(ended)
	for p := range pieces {
		f, wake := n.flow(a, b)
		for f.Hold {
			<-wake
			f, wake = n.flow(a, b)
		}
		if f.Delay > 0 {
			time.Sleep(time.Until(p.at.Add(f.Delay)))
			f, _ = n.flow(a, b)
		}
		switch {
		case f.Cut:
			n.mu.Lock()
			n.lost += len(p.data)
			n.mu.Unlock()
			continue
		case f.Break:
			n.Set(a, b, func(f *Flow) { f.Break = false })
			to.Write(p.data[:len(p.data)/2])
			return
		}
		if f.Rate > 0 {
			time.Sleep(time.Duration(len(p.data)) * time.Second / time.Duration(f.Rate))
		}
		if _, err := to.Write(p.data); err != nil {
			return
		}
	}
}
