package appliance

import (
	"bufio"
	"crypto/tls"
	"encoding/pem"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cairnlane/internal/control"
	"cairnlane/internal/fake/authority"
	"cairnlane/internal/thrift"
)

// TestMain runs the appliance instead of the tests if the environment names a configuration.
func TestMain(m *testing.M) {
	path := os.Getenv("CAIRNLANE_TEST_SERVE")
	if path == "" {
		os.Exit(m.Run())
	}
	fmt.Fprintln(os.Stderr, Serve(path, os.Stderr))
	os.Exit(1)
}

// testTimeout ends a test that hangs; no result depends on it. The fixture raises caller-idle as well: on a busy machine
// the test can take longer than the default idle limit, and the replica would close the test's own connection.
const testTimeout = 5 * time.Minute

// testBox is a running appliance with a fake engine and a fake authority.
type testBox struct {
	t       *testing.T
	cmd     *exec.Cmd
	ca      *authority.Authority
	control *control.Client
	addr    string // address of the TLS listener
	dir     string
	log     *bufio.Reader
}

func startTestBox(t *testing.T, challenge string) *testBox {
	t.Helper()
	dir := t.TempDir()
	b := &testBox{t: t, dir: dir}
	var at atomic.Pointer[string]
	known := make(chan struct{})
	var err error
	b.ca, err = authority.Start(authority.Config{Name: "test", Now: time.Now, Lifetime: 90 * 24 * time.Hour, Resolve: func(string, int) string {
		<-known // the validation may start before the test has read the address of the TLS listener
		return *at.Load()
	}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { b.ca.Close() })
	engine, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { engine.Close() })
	go func() {
		for {
			c, err := engine.Accept()
			if err != nil {
				return
			}
			go serveFakeEngine(c)
		}
	}()
	example, err := os.ReadFile("../../examples/config.json")
	if err != nil {
		t.Fatal(err)
	}
	site := strings.NewReplacer(`127.0.0.1:7001`, `127.0.0.1:0`, `127.0.0.1:4400`, engine.Addr().String(), `"drain-grace": 2000000`, `"drain-grace": 300000`,
		`"caller-idle": 15000000`, `"caller-idle": 3600000000`).Replace(string(example))
	files := map[string]string{"site.json": site, "root.pem": string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: b.ca.RootCertificates()[0].Raw})),
		"appliance.hcl": fmt.Sprintf("replica = \"site.json\"\nstate = \"state\"\nrecorder = true\ntls {\n listen = \"127.0.0.1:0\"\n challenge = %q\n self_signed = true\n"+
			" authority \"main\" {\n directory = %q\n root = \"root.pem\"\n }\n certificate \"site\" {\n hosts = [\"box.site.example\"]\n }\n}\n", challenge, b.ca.URL())}
	for name, data := range files {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(data), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	b.cmd = exec.Command(os.Args[0])
	b.cmd.Env = append(os.Environ(), "CAIRNLANE_TEST_SERVE="+filepath.Join(dir, "appliance.hcl"))
	out, err := b.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := b.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { b.cmd.Process.Kill() })
	b.log = bufio.NewReader(out)
	line := b.waitForLog("TLS listener started")
	b.addr, _, _ = strings.Cut(line[strings.Index(line, `"listen":"`)+len(`"listen":"`):], `"`)
	at.Store(&b.addr)
	close(known)
	b.waitForLog("control socket opened")
	b.control = control.NewClient(filepath.Join(dir, "state", "control.sock"))
	go func() {
		for {
			if _, err := b.log.ReadString('\n'); err != nil {
				return
			}
		}
	}()
	return b
}

// serveFakeEngine completes each run at once.
func serveFakeEngine(c net.Conn) {
	r, n := bufio.NewReader(c), 0
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		switch w := strings.Fields(line); w[0] {
		case "ATTACH":
			fmt.Fprint(c, "HELLO running 0\r\n")
		case "STAT":
			fmt.Fprintf(c, "STATS %s 0 0 0 0\r\n", w[1])
		case "RUN":
			var size int
			fmt.Sscan(w[3], &size)
			r.Discard(size + 2)
			n++
			fmt.Fprintf(c, "DONE %d %s fine 5 2\r\nok\r\n", n, w[1])
		}
	}
}

func (b *testBox) waitForLog(word string) string {
	b.t.Helper()
	all := ""
	for {
		line, err := b.log.ReadString('\n')
		if err != nil {
			b.t.Fatalf("no line with %q: %v\n%s", word, err, all)
		}
		all += line
		if strings.Contains(line, word) {
			return line
		}
	}
}

// waitUntil waits until the condition holds and fails after testTimeout.
func (b *testBox) waitUntil(what string, condition func() bool) {
	b.t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			b.t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

func (b *testBox) generationReached(n int) func() bool {
	return func() bool {
		l, err := b.control.Certificates()
		return err == nil && len(l) == 1 && l[0].Generation >= n
	}
}

func (b *testBox) dial() *tls.Conn {
	b.t.Helper()
	c, err := tls.Dial("tcp", b.addr, &tls.Config{ServerName: "box.site.example", RootCAs: b.ca.Roots()})
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	return c
}

// exchange sends a request unless seq is 0, and returns name, sequence number and field kind of the next n messages.
func exchange(t *testing.T, c net.Conn, seq int32, n int) string {
	t.Helper()
	if seq > 0 {
		fields := [][2]string{{"verb", "note-save"}, {"txn", fmt.Sprintf("%016x", seq)}, {"unique", fmt.Sprint(seq)}, {"door", fmt.Sprint(time.Now().UnixMilli())},
			{"lb", "1"}, {"team", "hills-college"}, {"limit", "3000"}, {"ram", "9"}, {"standing", "0.5"}}
		c.Write(thrift.AppendFrame(nil, func(b []byte) []byte {
			b = thrift.AppendHeader(b, thrift.Header{Type: thrift.Call, Name: "serve", Seq: seq})
			b = thrift.AppendStringMap(thrift.AppendField(b, thrift.Map, 1), fields)
			return thrift.AppendStop(thrift.AppendString(thrift.AppendField(b, thrift.String, 2), "note"))
		}))
	}
	var in []byte
	var got []string
	for buf := make([]byte, 4096); len(got) < n; {
		p, rest, err := thrift.Frame(in)
		if err != nil {
			t.Fatal(err)
		}
		if p != nil {
			r := thrift.NewReader(p)
			h := r.Header()
			_, kind := r.Field()
			got, in = append(got, fmt.Sprintf("%s %d %d", h.Name, h.Seq, kind)), rest
			continue
		}
		k, err := c.Read(buf)
		if err != nil {
			return strings.Join(append(got, err.Error()), ", ")
		}
		in = append(in, buf[:k]...)
	}
	return strings.Join(got, ", ")
}

// TestBoxObtainsServesRenewsAndDrains runs an appliance from its first certificate over a renewal and a revocation to
// the drain, controlled through its control socket.
func TestBoxObtainsServesRenewsAndDrains(t *testing.T) {
	b := startTestBox(t, "tls-alpn-01")
	b.waitUntil("first certificate", b.generationReached(1))
	c := b.dial()
	if got := exchange(t, c, 1, 1); got != "serve 1 0" {
		t.Fatalf("answer over TLS: %s", got)
	}
	if err := b.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	if err := b.control.Renew("site"); err != nil {
		t.Fatal(err)
	}
	b.waitUntil("second certificate", b.generationReached(2))
	if got := exchange(t, c, 2, 1); got != "serve 2 0" {
		t.Errorf("answer on the connection from before the renewal: %s", got)
	}
	if err := b.control.Revoke("site", 1); err != nil {
		t.Error(err)
	}
	b.waitUntil("third certificate", b.generationReached(3))
	if h, err := b.control.History("site"); err != nil || len(h) != 4 || h[3].What != "issued" {
		t.Errorf("history %+v, %v", h, err)
	}
	for _, err := range []error{b.control.Renew("none"), b.control.Revoke("site", 7)} {
		if err == nil {
			t.Error("no error for an unknown certificate or an invalid revocation reason")
		}
	}
	s, err := b.control.Status()
	if err != nil || s.Draining || s.Counters["answers_served"] != 2 || s.Counters["tls_handshakes"] < 2 {
		t.Errorf("status %+v, %v", s, err)
	}
	for _, call := range []string{"check", "drain-on", "check", "drain-off"} { // the calls of the admin listener
		if _, err := b.control.OperatorCall(call); err != nil {
			t.Errorf("%s: %v", call, err)
		}
	}
	if text, err := b.control.OperatorCall("vars"); err != nil || !strings.Contains(text, "edge_relay_in_progress 0") {
		t.Errorf("vars: %q, %v", text, err)
	}
	if err := b.control.Stop(); err != nil {
		t.Fatal(err)
	}
	if got := exchange(t, c, 0, 1); got != "goaway 0 0" {
		t.Errorf("message in the drain: %s", got)
	}
	c.Close()
	if err := b.cmd.Wait(); err != nil {
		t.Errorf("the daemon exited with %v", err)
	}
	if _, err := b.control.Status(); err == nil || !strings.Contains(err.Error(), "no daemon answers") {
		t.Errorf("status after the daemon has exited: %v", err)
	}
}

// TestControlSocketModeAndExclusiveUse checks the mode of the socket, and that a second daemon cannot listen on
// it while the first one does.
func TestControlSocketModeAndExclusiveUse(t *testing.T) {
	path := filepath.Join(t.TempDir(), "control.sock")
	s, err := control.Listen(path, &controlHandler{box: &Box{}})
	if err != nil {
		t.Fatal(err)
	}
	if i, err := os.Stat(path); err != nil || i.Mode().Perm() != 0o600 {
		t.Errorf("control socket has mode %v, want 0600; error %v", i.Mode(), err)
	}
	if _, err := control.Listen(path, &controlHandler{}); err == nil {
		t.Error("a second daemon can listen on the control socket")
	}
	if _, err := control.NewClient(path).History("x"); err == nil {
		t.Error("no error for the history of an unknown certificate")
	}
	s.Close()
	if s, err = control.Listen(path, &controlHandler{}); err != nil {
		t.Errorf("listen after the first daemon has closed the socket: %v", err)
	} else {
		s.Close()
	}
}

func TestRenewalOffsetsAreStableAndSpread(t *testing.T) {
	var tenth [10]int
	for i := range 1000 {
		offset := RenewalOffset(fmt.Sprint("box", i), "site")
		if offset != RenewalOffset(fmt.Sprint("box", i), "site") || offset < 0 || offset >= 1 {
			t.Fatalf("offset %v is not stable or not in [0, 1)", offset)
		}
		tenth[int(offset*10)]++
	}
	for i, n := range tenth {
		if n < 60 || n > 140 {
			t.Errorf("%d of 1000 boxes in tenth %d, want 60 to 140", n, i)
		}
	}
}
