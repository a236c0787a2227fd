package rig

import (
	"net"
	"sync"
	"time"
)

// Flow describes how the bytes of one direction between two boxes are handled.
type Flow struct {
	Drop   bool          // bytes are read and dropped, and the connection stays open
	Hold   bool          // bytes wait until this is reset
	Delay  time.Duration // added latency
	Rate   int           // bytes a second; 0 for no limit
	Reject bool          // new connections in this direction are closed at once
	Break  bool          // only half of the next chunk is forwarded, then the connection is closed; resets itself
}

// Network holds the relays between boxes, one for each direction in which a box may connect to another. A process reaches a peer only
// through its relay. The Flow of a direction applies to all bytes in that direction, whichever box opened the connection.
type Network struct {
	mu           sync.Mutex
	flows        map[[2]int]Flow
	changed      chan struct{} // closed and replaced whenever flows changes
	relays       []*relay
	closed       bool
	droppedBytes int // bytes
}

// DroppedBytes returns how many bytes were dropped.
func (n *Network) DroppedBytes() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.droppedBytes
}

type relay struct {
	net      *Network
	from, to int
	ln       net.Listener
	target   func() string
}

// NewNetwork returns a Network without relays.
func NewNetwork() *Network { return &Network{flows: map[[2]int]Flow{}, changed: make(chan struct{})} }

// AddRelay starts the relay from a box to another one and returns its address. The function target returns the other box's own address.
func (n *Network) AddRelay(from, to int, target func() string) (addr string, err error) {
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

// SetFlow changes the Flow of a direction.
func (n *Network) SetFlow(from, to int, change func(*Flow)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f := n.flows[[2]int{from, to}]
	change(&f)
	n.flows[[2]int{from, to}] = f
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *Network) flow(from, to int) (Flow, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.flows[[2]int{from, to}], n.changed
}

// Heal resets the flows of all directions.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.flows)
	close(n.changed)
	n.changed = make(chan struct{})
}

// Close closes the listeners of all relays and resets all flows.
func (n *Network) Close() {
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
		go r.forward(c)
	}
}

func (r *relay) forward(caller net.Conn) {
	defer caller.Close()
	if f, _ := r.net.flow(r.from, r.to); f.Reject {
		return
	}
	target, err := net.DialTimeout("tcp", r.target(), time.Second)
	if err != nil {
		return
	}
	defer target.Close()
	var both sync.WaitGroup
	both.Go(func() { r.net.copyDirection(caller, target, r.from, r.to); caller.Close(); target.Close() })
	both.Go(func() { r.net.copyDirection(target, caller, r.to, r.from); caller.Close(); target.Close() })
	both.Wait()
}

// chunk is the result of one read.
type chunk struct {
	data []byte
	at   time.Time
}

// copyDirection copies the bytes of one direction. It reads on while chunks are delayed, up to the capacity of the channel.
func (n *Network) copyDirection(from, to net.Conn, fromBox, toBox int) {
	chunks := make(chan chunk, 64)
	ended := make(chan struct{})
	go func() {
		defer close(chunks)
		for {
			buf := make([]byte, 32<<10)
			size, err := from.Read(buf)
			if size > 0 {
				select {
				case chunks <- chunk{buf[:size], time.Now()}:
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
	for c := range chunks {
		f, changed := n.flow(fromBox, toBox)
		for f.Hold {
			<-changed
			f, changed = n.flow(fromBox, toBox)
		}
		if f.Delay > 0 {
			time.Sleep(time.Until(c.at.Add(f.Delay)))
			f, _ = n.flow(fromBox, toBox)
		}
		switch {
		case f.Drop:
			n.mu.Lock()
			n.droppedBytes += len(c.data)
			n.mu.Unlock()
			continue
		case f.Break:
			n.SetFlow(fromBox, toBox, func(f *Flow) { f.Break = false })
			to.Write(c.data[:len(c.data)/2])
			return
		}
		if f.Rate > 0 {
			time.Sleep(time.Duration(len(c.data)) * time.Second / time.Duration(f.Rate))
		}
		if _, err := to.Write(c.data); err != nil {
			return
		}
	}
}
