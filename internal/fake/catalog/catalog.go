// Package catalog is a fake of the catalog from which routers learn the replicas, written from the protocol specification. It accepts
// the replicas' status reports and keeps the last one of each name.
package catalog

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Report is a status report of a replica.
type Report struct {
	Status string    // passing or critical
	At     time.Time // when it was received
}

// Catalog is a fake catalog that listens on loopback.
type Catalog struct {
	ln     net.Listener
	server http.Server

	mu          sync.Mutex
	down        bool              // all reports are rejected
	received    int               // reports, rejected ones included
	lastReports map[string]Report // by replica name
}

// Start starts a catalog.
func Start() (*Catalog, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("fake catalog: %w", err)
	}
	c := &Catalog{ln: ln, lastReports: map[string]Report{}}
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /catalog/register/{name}", c.register)
	c.server.Handler = mux
	go c.server.Serve(ln)
	return c, nil
}

func (c *Catalog) register(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	c.received++
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
	c.lastReports[r.PathValue("name")] = Report{body.Status, time.Now()}
	c.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// String returns the address as host:port.
func (c *Catalog) String() string { return c.ln.Addr().String() }

// SetDown sets whether the catalog rejects all reports with status 503.
func (c *Catalog) SetDown(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = on
}

// ReportCount returns the number of reports received, rejected ones included.
func (c *Catalog) ReportCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received
}

// LastReport returns the last accepted report of a replica, and false if there is none.
func (c *Catalog) LastReport(name string) (Report, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.lastReports[name]
	return r, ok
}

// Close closes the listener and all connections.
func (c *Catalog) Close() error { return c.server.Close() }
