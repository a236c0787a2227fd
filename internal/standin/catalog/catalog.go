// Package catalog stands in for the catalog where routers learn of replicas, from the protocol page: it takes reports
// and remembers when each name came last.
package catalog

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Report is what a replica said last.
type Report struct {
	Status string
	At     time.Time
}

// Catalog is a running one.
type Catalog struct {
	ln   net.Listener
	http http.Server

	mu   sync.Mutex
	down bool
	came int
	last map[string]Report
}

// Start opens one on loopback.
func Start() (*Catalog, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("stand-in catalog: %w", err)
	}
	c := &Catalog{ln: ln, last: map[string]Report{}}
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /catalog/register/{name}", c.register)
	c.http.Handler = mux
	go c.http.Serve(ln)
	return c, nil
}

func (c *Catalog) register(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	c.came++
	down := c.down
	c.mu.Unlock()
	if down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	var body struct{ Status string }
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<10)).Decode(&body); err != nil || body.Status != "passing" && body.Status != "critical" {
		http.Error(w, "status must be passing or critical", http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	c.last[r.PathValue("name")] = Report{body.Status, time.Now()}
	c.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// String is the address.
func (c *Catalog) String() string { return c.ln.Addr().String() }

// Down has it turn all reports down, or take them again.
func (c *Catalog) Down(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = on
}

// Came tells how many reports came, taken or not.
func (c *Catalog) Came() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.came
}

// Last tells what a replica said last.
func (c *Catalog) Last(name string) (Report, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.last[name]
	return r, ok
}

// Close ends it.
func (c *Catalog) Close() error { return c.http.Close() }
