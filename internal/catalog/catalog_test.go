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

func TestReportsUntilTheLastOne(t *testing.T) {
	status, got := http.StatusServiceUnavailable, make(chan string, 4)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		body, _ := io.ReadAll(q.Body)
		got <- q.Method + " " + q.URL.Path + " " + string(body)
		w.WriteHeader(status)
	}))
	defer srv.Close()
	set := new(counters.Set)
	r := NewReporter(strings.TrimPrefix(srv.URL, "http://"), "n3", set)
	if err := r.report(context.Background(), false); err == nil {
		t.Error("a report that was turned down counts as sent")
	}
	if want, first := `PUT /catalog/register/n3 {"status":"passing"}`, <-got; first != want {
		t.Errorf("report %s, want %s", first, want)
	}
	status = http.StatusNoContent
	r.Leave()
	r.Keep(context.Background()) // ends after the last report
	if last := <-got; !strings.HasSuffix(last, `{"status":"critical"}`) || set.Get("catalog_reports").Load() != 1 {
		t.Errorf("last report %s, counters %v", last, set)
	}
}

func TestACatalogThatIsDownOnlyFailsReports(t *testing.T) {
	srv := httptest.NewServer(http.NotFoundHandler())
	addr := strings.TrimPrefix(srv.URL, "http://")
	srv.Close()
	if err := NewReporter(addr, "n3", new(counters.Set)).report(context.Background(), false); err == nil {
		t.Error("no error from a closed port")
	}
}

// The catalog used to have one address for good.
func TestReportsGoToTheNewCatalogAtOnce(t *testing.T) {
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
	go r.Keep(ctx)
	if got := <-reports; got != "old" {
		t.Fatalf("first report to the %s one", got)
	}
	r.Move(catalog("new"))
	for got := range reports { // on a slow machine some may have gone to the old one before
		if got == "new" {
			return
		}
	}
}

// A move used to wait for the report that the old catalog had taken and did not answer.
func TestAMoveWaitsForNoAnswerOfTheOldCatalog(t *testing.T) {
	asked, release := make(chan struct{}, 1), make(chan struct{})
	old := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		asked <- struct{}{}
		<-release
	}))
	defer old.Close()
	defer close(release)
	told := make(chan struct{}, 8)
	next := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
		told <- struct{}{}
	}))
	defer next.Close()
	r := NewReporter(strings.TrimPrefix(old.URL, "http://"), "n3", new(counters.Set))
	r.client.Timeout = 0 // only the move ends the report
	go r.Keep(t.Context())
	<-asked
	r.Move(strings.TrimPrefix(next.URL, "http://"))
	select {
	case <-told:
	case <-time.After(20 * time.Second):
		t.Fatal("the new catalog hears nothing")
	}
}

// Whatever a catalog does with a report, the next one goes out, each on a connection whose last answer was whole.
func TestReportsGoOnWhateverTheCatalogDoes(t *testing.T) {
	ln, set := testkit.Listen(t), new(counters.Set)
	r := NewReporter(ln.Addr().String(), "n3", set)
	r.client.Timeout = 100 * time.Millisecond
	go r.Keep(t.Context())
	reads := func(c *testkit.Peer, answer string) {
		t.Helper()
		q, err := http.ReadRequest(c.In)
		if err != nil {
			t.Fatalf("answer %q: %v", answer, err)
		}
		if body, err := io.ReadAll(q.Body); err != nil || string(body) != `{"status":"passing"}` {
			t.Fatalf("answer %q: %q, %v", answer, body, err)
		}
		c.Says("%s", answer)
	}
	const whole = "HTTP/1.1 204 No Content\r\n\r\n"
	for _, answer := range []string{"", "HTTP/1.1 204 No", "what\r\n\r\n", "HTTP/1.1 500 Odd\r\nContent-Length: 9\r\n\r\nhalf"} {
		c := testkit.Accept(t, ln)
		reads(c, answer)
		c.Ends()                 // the report has been given up
		io.WriteString(c, whole) // and nobody reads what comes late
	}
	c := testkit.Accept(t, ln)
	for range 2 { // whose connection is used again
		reads(c, whole)
	}
	if n := set.Get("catalog_reports_failed").Load(); n != 4 {
		t.Errorf("%d reports failed", n)
	}
}
