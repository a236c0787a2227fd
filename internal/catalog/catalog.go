// Package catalog reports this replica to the catalog where routers learn of replicas.
package catalog

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"cairnlane/internal/counters"
)

const (
	// Period between reports. An entry lapses 3 s after the last one, so three may fail in a row.
	Period = 700 * time.Millisecond
	// timeout is under the period: a report that is not answered, which may count all the same, must not
	// delay the next.
	timeout = 500 * time.Millisecond
)

// Pace says when to report. Its methods do not wait. Without one a report goes out each Period.
type Pace interface {
	Due() bool // asked each look; whoever is told yes reports, and tells what came of it
	RecordResult(ok bool)
}

// look is how often a pace is asked.
const look = 50 * time.Millisecond

// Reporter reports a name as passing, or as critical once it leaves.
type Reporter struct {
	name    string
	addr    atomic.Pointer[string]
	moved   chan struct{} // the address is another one now
	client  http.Client
	leaving atomic.Bool
	open    atomic.Pointer[context.CancelFunc] // ends the report that is on its way
	pace    atomic.Pointer[Pace]
	sent    *counters.Counter
	failed  *counters.Counter
}

// NewReporter reports name to the catalog at addr.
func NewReporter(addr, name string, set *counters.Set) *Reporter {
	r := &Reporter{
		name: name, moved: make(chan struct{}, 1),
		client: http.Client{Timeout: timeout, Transport: &http.Transport{MaxIdleConns: 1, MaxConnsPerHost: 2,
			DisableCompression: true}},
		sent: set.Get("catalog_reports"), failed: set.Get("catalog_reports_failed"),
	}
	r.addr.Store(&addr)
	return r
}

// Move has the reports go to the catalog at addr, the next one at once: the old catalog's word may no
// longer count.
func (r *Reporter) Move(addr string) {
	if *r.addr.Swap(&addr) == addr {
		return
	}
	r.client.CloseIdleConnections()
	if end := r.open.Load(); end != nil { // what the old catalog would say does not count any more
		(*end)()
	}
	select {
	case r.moved <- struct{}{}:
	default:
	}
}

// Pace has reports go out when p says so, from the next one on.
func (r *Reporter) Pace(p Pace) { r.pace.Store(&p) }

// wait returns when a report is due; false means that ctx has ended. A box that leaves goes by the period: its last report must get out.
func (r *Reporter) wait(ctx context.Context, tick *time.Ticker) bool {
	for {
		p := r.pace.Load()
		if p == nil || r.leaving.Load() {
			select {
			case <-tick.C:
			case <-r.moved:
			case <-ctx.Done():
				return false
			}
			return true
		}
		select {
		case <-time.After(look):
			if (*p).Due() {
				return true
			}
		case <-r.moved:
			return true
		case <-ctx.Done():
			return false
		}
	}
}

// Leave makes the next report the last: the entry lapses by itself.
func (r *Reporter) Leave() { r.leaving.Store(true) }

// Keep reports at once and then every Period until ctx ends or the last report is out. It runs
// apart from the serving path: a catalog that is down or slow delays nothing but its own reports.
func (r *Reporter) Keep(ctx context.Context) {
	tick := time.NewTicker(Period)
	defer tick.Stop()
	for {
		last := r.leaving.Load()
		err := r.report(ctx, last)
		if p := r.pace.Load(); p != nil {
			(*p).RecordResult(err == nil)
		}
		if err != nil {
			r.failed.Inc()
		} else {
			r.sent.Inc()
			if last {
				return
			}
		}
		if !r.wait(ctx, tick) {
			return
		}
	}
}

func (r *Reporter) report(ctx context.Context, leaving bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.open.Store(&cancel) // before the address is read: a move ends this report or is seen by it
	status := "passing"
	if leaving {
		status = "critical"
	}
	target := "http://" + *r.addr.Load() + "/catalog/register/" + url.PathEscape(r.name)
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, target, strings.NewReader(`{"status":"`+status+`"}`))
	if err != nil {
		return fmt.Errorf("catalog report: %w", err)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return fmt.Errorf("catalog report: %w", err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, 1<<16)); err != nil {
		return fmt.Errorf("catalog report: %w", err)
	}
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("catalog report: status %d", resp.StatusCode)
	}
	return nil
}
