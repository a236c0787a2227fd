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
	Period  = 700 * time.Millisecond
	timeout = 900 * time.Millisecond
)

// Reporter reports a name as passing, or as critical once it leaves.
type Reporter struct {
	target  string
	client  http.Client
	leaving atomic.Bool
	sent    *counters.Counter
	failed  *counters.Counter
}

// NewReporter reports name to the catalog at addr.
func NewReporter(addr, name string, set *counters.Set) *Reporter {
	return &Reporter{
		target: "http://" + addr + "/catalog/register/" + url.PathEscape(name),
		client: http.Client{Timeout: timeout, Transport: &http.Transport{MaxIdleConns: 1, MaxConnsPerHost: 2,
			DisableCompression: true}},
		sent: set.Get("catalog_reports"), failed: set.Get("catalog_reports_failed"),
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
		if err := r.report(ctx, last); err != nil {
			r.failed.Inc()
		} else {
			r.sent.Inc()
			if last {
				return
			}
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (r *Reporter) report(ctx context.Context, leaving bool) error {
	status := "passing"
	if leaving {
		status = "critical"
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, r.target, strings.NewReader(`{"status":"`+status+`"}`))
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
