package catalog

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"cairnlane/internal/counters"
	"cairnlane/internal/testkit"
)

func TestRunEndsAfterLastReport(t *testing.T) {
	status, reports := http.StatusServiceUnavailable, make(chan string, 4)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		body, _ := io.ReadAll(q.Body)
		reports <- q.Method + " " + q.URL.Path + " " + string(body)
		w.WriteHeader(status)
	}))
	defer srv.Close()
	set := new(counters.Set)
	r := NewReporter(strings.TrimPrefix(srv.URL, "http://"), "n3", set)
	if err := r.report(context.Background(), false); err == nil {
		t.Error("a rejected report counts as sent")
	}
	if want, first := `PUT /catalog/register/n3 {"status":"passing"}`, <-reports; first != want {
		t.Errorf("report %s, want %s", first, want)
	}
	status = http.StatusNoContent
	r.Deregister()
	r.Run(context.Background()) // ends after the last report
	if last := <-reports; !strings.HasSuffix(last, `{"status":"critical"}`) || set.Get("catalog_reports").Load() != 1 {
		t.Errorf("last report %s, counters %v", last, set)
	}
}

func TestReportFailsWhenCatalogIsDown(t *testing.T) {
	srv := httptest.NewServer(http.NotFoundHandler())
	addr := strings.TrimPrefix(srv.URL, "http://")
	srv.Close()
	if err := NewReporter(addr, "n3", new(counters.Set)).report(context.Background(), false); err == nil {
		t.Error("no error from a closed port")
	}
}

// TestSetAddrReportsToNewCatalogAtOnce checks that SetAddr sends reports to the new address.
func TestSetAddrReportsToNewCatalogAtOnce(t *testing.T) {
	reports := make(chan string, 8)
	catalog := func(name string) string {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			w.WriteHeader(http.StatusNoContent)
			reports <- name
		}))
		t.Cleanup(srv.Close)
		return strings.TrimPrefix(srv.URL, "http://")
	}
	r := NewReporter(catalog("old"), "n3", new(counters.Set))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go r.Run(ctx)
	if got := <-reports; got != "old" {
		t.Fatalf("first report to the %s catalog", got)
	}
	r.SetAddr(catalog("new"))
	for got := range reports { // on a slow machine the old catalog may have received more than one before the move
		if got == "new" {
			return
		}
	}
}

// TestSetAddrCancelsReportToOldCatalog checks that SetAddr does not wait for a report that the old catalog does not answer.
func TestSetAddrCancelsReportToOldCatalog(t *testing.T) {
	received, release := make(chan struct{}, 1), make(chan struct{})
	old := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		received <- struct{}{}
		<-release
	}))
	defer old.Close()
	defer close(release)
	reported := make(chan struct{}, 8)
	next := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
		reported <- struct{}{}
	}))
	defer next.Close()
	r := NewReporter(strings.TrimPrefix(old.URL, "http://"), "n3", new(counters.Set))
	r.client.Timeout = 0 // only SetAddr can cancel the report
	go r.Run(t.Context())
	<-received
	r.SetAddr(strings.TrimPrefix(next.URL, "http://"))
	select {
	case <-reported:
	case <-time.After(20 * time.Second):
		t.Fatal("the new catalog receives no report")
	}
}

// TestReportsContinueAfterBadAnswers checks that the next report is sent whatever the catalog answers, and that a connection
// is reused only after a complete answer.
func TestReportsContinueAfterBadAnswers(t *testing.T) {
	ln, set := testkit.Listen(t), new(counters.Set)
	r := NewReporter(ln.Addr().String(), "n3", set)
	r.client.Timeout = 100 * time.Millisecond
	go r.Run(t.Context())
	answerReport := func(c *testkit.Peer, answer string) {
		t.Helper()
		q, err := http.ReadRequest(c.Reader)
		if err != nil {
			t.Fatalf("answer %q: %v", answer, err)
		}
		if body, err := io.ReadAll(q.Body); err != nil || string(body) != `{"status":"passing"}` {
			t.Fatalf("answer %q: %q, %v", answer, body, err)
		}
		c.Writef("%s", answer)
	}
	const complete = "HTTP/1.1 204 No Content\r\n\r\n"
	for _, answer := range []string{"", "HTTP/1.1 204 No", "what\r\n\r\n", "HTTP/1.1 500 Odd\r\nContent-Length: 9\r\n\r\nhalf"} {
		c := testkit.Accept(t, ln)
		answerReport(c, answer)
		c.ExpectEOF()               // the report has failed
		io.WriteString(c, complete) // a late answer is not read
	}
	c := testkit.Accept(t, ln)
	for range 2 { // the connection is reused
		answerReport(c, complete)
	}
	if n := set.Get("catalog_reports_failed").Load(); n != 4 {
		t.Errorf("%d reports failed", n)
	}
}
