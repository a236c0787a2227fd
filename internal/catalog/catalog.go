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
	// Period is the time between reports. An entry expires 3 s after its last report, so three reports in a row may fail.
	Period = 700 * time.Millisecond
	// timeout is shorter than the period, so that an unanswered report, which may have been accepted all the same, does
	// not delay the next one.
	timeout = 500 * time.Millisecond
)

// Scheduler decides when to report. Its methods do not block. Without one, a report is sent each Period.
type Scheduler interface {
	// Due reports whether a report is to be sent now. After true, the caller sends one and passes the result to RecordResult.
	Due() bool
	// RecordResult receives whether the catalog accepted a report.
	RecordResult(ok bool)
}

// pollInterval is the interval of the calls of Scheduler.Due.
const pollInterval = 50 * time.Millisecond

// Reporter reports a name to the catalog as passing, or as critical after Deregister.
type Reporter struct {
	name         string
	addr         atomic.Pointer[string]
	addrChanged  chan struct{} // signals a change of addr
	client       http.Client
	deregistered atomic.Bool
	cancelReport atomic.Pointer[context.CancelFunc] // cancels the report in progress
	scheduler    atomic.Pointer[Scheduler]
	sent         *counters.Counter
	failed       *counters.Counter
}

// NewReporter returns a reporter of name to the catalog at addr. Run sends the reports.
func NewReporter(addr, name string, set *counters.Set) *Reporter {
	r := &Reporter{
		name: name, addrChanged: make(chan struct{}, 1),
		client: http.Client{Timeout: timeout, Transport: &http.Transport{MaxIdleConns: 1, MaxConnsPerHost: 2,
			DisableCompression: true}},
		sent: set.Get("catalog_reports"), failed: set.Get("catalog_reports_failed"),
	}
	r.addr.Store(&addr)
	return r
}

// SetAddr sends the reports to the catalog at addr from now on, the next one at once, as reports to the old catalog may
// no longer have an effect.
func (r *Reporter) SetAddr(addr string) {
	if *r.addr.Swap(&addr) == addr {
		return
	}
	r.client.CloseIdleConnections()
	if end := r.cancelReport.Load(); end != nil { // the old catalog's answer is no longer needed
		(*end)()
	}
	select {
	case r.addrChanged <- struct{}{}:
	default:
	}
}

// SetScheduler makes p decide when reports are sent, from the next one on.
func (r *Reporter) SetScheduler(p Scheduler) { r.scheduler.Store(&p) }

// wait returns true when a report is due, or false when ctx is done. After Deregister it ignores the scheduler and uses the
// period, as the last report must be sent.
func (r *Reporter) wait(ctx context.Context, tick *time.Ticker) bool {
	for {
		p := r.scheduler.Load()
		if p == nil || r.deregistered.Load() {
			select {
			case <-tick.C:
			case <-r.addrChanged:
			case <-ctx.Done():
				return false
			}
			return true
		}
		select {
		case <-time.After(pollInterval):
			if (*p).Due() {
				return true
			}
		case <-r.addrChanged:
			return true
		case <-ctx.Done():
			return false
		}
	}
}

// Deregister makes the next report the last one and critical; the entry then expires.
func (r *Reporter) Deregister() { r.deregistered.Store(true) }

// Run reports at once and then every Period, or when the scheduler's Due returns true, until ctx is done or the last
// report is sent. It runs apart from the serving path: a catalog that is down or slow delays only its own reports.
func (r *Reporter) Run(ctx context.Context) {
	tick := time.NewTicker(Period)
	defer tick.Stop()
	for {
		last := r.deregistered.Load()
		err := r.report(ctx, last)
		if p := r.scheduler.Load(); p != nil {
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

func (r *Reporter) report(ctx context.Context, last bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.cancelReport.Store(&cancel) // before addr is loaded, so that SetAddr either cancels this report or its new address is used
	status := "passing"
	if last {
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
