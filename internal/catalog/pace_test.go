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

// fakeScheduler is a Scheduler that is due as often as the test allows, and records the results.
type fakeScheduler struct {
	mu        sync.Mutex
	remaining int
	results   []bool
}

func (g *fakeScheduler) Due() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.remaining--
	return g.remaining >= 0
}

func (g *fakeScheduler) RecordResult(ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.results = append(g.results, ok)
}

// TestReportsFollowSchedulerUntilDeregister checks that reports are sent when Due returns true, that the scheduler
// receives each result, and that the last report after Deregister is sent even if Due returns false.
func TestReportsFollowSchedulerUntilDeregister(t *testing.T) {
	reports := make(chan string, 16)
	down := false
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		buf := make([]byte, 64)
		n, _ := r.Body.Read(buf)
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
		} else {
			w.WriteHeader(http.StatusNoContent)
		}
		reports <- string(buf[:n])
	}))
	defer srv.Close()
	r := NewReporter(strings.TrimPrefix(srv.URL, "http://"), "n0", new(counters.Set))
	g := new(fakeScheduler)
	r.SetScheduler(g)
	done := make(chan struct{})
	go func() { r.Run(context.Background()); close(done) }()
	<-reports // the first one is sent at once
	grant := func(n int) {
		g.mu.Lock()
		g.remaining = n
		g.mu.Unlock()
	}
	for range 3 {
		grant(1)
		<-reports
	}
	if len(reports) != 0 {
		t.Error("more reports than were due")
	}
	grant(0)
	r.Deregister()
	if last := <-reports; !strings.Contains(last, "critical") {
		t.Errorf("the last report is %q", last)
	}
	<-done
	if len(g.results) != 5 || !g.results[0] || !g.results[4] {
		t.Errorf("results %v", g.results)
	}
}
