package catalog

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"cairnlane/internal/counters"
)

// granted is a pace that is due as often as the test grants it.
type granted struct {
	mu   sync.Mutex
	left int
	told []bool
}

func (g *granted) Due() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.left--
	return g.left >= 0
}

func (g *granted) RecordResult(ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.told = append(g.told, ok)
}

// TestReportsGoOutWhenThePaceSaysSo, what came of each is told to it, and a box that leaves gets its last report out whatever it says.
func TestReportsGoOutWhenThePaceSaysSo(t *testing.T) {
	came := make(chan string, 16)
	down := false
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		buf := make([]byte, 64)
		n, _ := r.Body.Read(buf)
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
		} else {
			w.WriteHeader(http.StatusNoContent)
		}
		came <- string(buf[:n])
	}))
	defer srv.Close()
	r := NewReporter(strings.TrimPrefix(srv.URL, "http://"), "n0", new(counters.Set))
	g := new(granted)
	r.Pace(g)
	over := make(chan struct{})
	go func() { r.Keep(context.Background()); close(over) }()
	<-came // the first one goes out at once
	grant := func(n int) {
		g.mu.Lock()
		g.left = n
		g.mu.Unlock()
	}
	for range 3 {
		grant(1)
		<-came
	}
	if len(came) != 0 {
		t.Error("more reports than were due")
	}
	grant(0)
	r.Leave()
	if last := <-came; !strings.Contains(last, "critical") {
		t.Errorf("the last report is %q", last)
	}
	<-over
	if len(g.told) != 5 || !g.told[0] || !g.told[4] {
		t.Errorf("told %v", g.told)
	}
}
