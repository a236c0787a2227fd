package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"cairnlane/internal/thrift"
)

// process is a started replica process with a fake engine and a fake router.
type process struct {
	cmd         *exec.Cmd
	path        string // path of its configuration
	log         *bufio.Reader
	engine      net.Listener
	engineConn  net.Conn
	engineInput *bufio.Reader // what the fake engine reads
	routerConn  net.Conn
}

func startServing(t *testing.T) *process {
	t.Helper()
	p, config := prepare(t)
	if err := os.WriteFile(p.path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	p.start(t)
	p.connect(t)
	return p
}

// prepare makes all that a replica needs and returns its configuration, which it does not write to the file.
func prepare(t *testing.T) (p *process, config string) {
	t.Helper()
	p = &process{path: filepath.Join(t.TempDir(), "config.json")}
	var err error
	if p.engine, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	example, err := os.ReadFile("../../examples/config.json")
	if err != nil {
		t.Fatal(err)
	}
	silent, err := net.Listen("tcp", "127.0.0.1:0") // a catalog that never answers
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { silent.Close(); p.engine.Close() })
	config = strings.NewReplacer(`127.0.0.1:7001`, `127.0.0.1:0`, `127.0.0.1:4400`, p.engine.Addr().String(), `127.0.0.1:2379`, silent.Addr().String(),
		`"drain-grace": 2000000`, `"drain-grace": 1000`).Replace(string(example))
	return p, config
}

// start starts the process.
func (p *process) start(t *testing.T) {
	t.Helper()
	p.cmd = exec.Command(os.Args[0])
	p.cmd.Env = append(os.Environ(), "CAIRNLANE_TEST_RUN=1", "RELAY_CONFIG="+p.path)
	out, err := p.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.cmd.Process.Kill() })
	if f, ok := out.(*os.File); ok {
		f.SetReadDeadline(time.Now().Add(time.Minute))
	}
	p.log = bufio.NewReader(out)
}

// connect waits until the process serves, accepts its engine connection and connects a router.
func (p *process) connect(t *testing.T) {
	t.Helper()
	line := p.waitForLine(t, p.log, " serves at ")
	p.acceptEngineConn(t, 0)
	var err error
	if p.routerConn, err = net.Dial("tcp", strings.Trim(line[strings.LastIndex(line, " ")+1:], `"}`)); err != nil {
		t.Fatal(err)
	}
	p.routerConn.SetDeadline(time.Now().Add(20 * time.Second))
}

// signal sends signals to the process.
func (p *process) signal(t *testing.T, all ...os.Signal) {
	t.Helper()
	for _, s := range all {
		if err := p.cmd.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
}

// makeConfigPipe replaces the configuration file with a named pipe, so that its reader waits for the test.
func (p *process) makeConfigPipe(t *testing.T) {
	t.Helper()
	_ = os.Remove(p.path)
	if err := unix.Mkfifo(p.path, 0o600); err != nil {
		t.Fatal(err)
	}
}

// openConfigPipe waits until the process reads its configuration from the pipe and returns the writing end.
func (p *process) openConfigPipe(t *testing.T) *os.File {
	t.Helper()
	f, err := os.OpenFile(p.path, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// TestSignalsWhileConfigurationIsRead sends SIGHUP and the drain notice before a replica has read its configuration.
// Without handlers installed before that, either signal kills the process. SIGHUP must have no effect then, and the drain
// start as soon as the replica serves.
func TestSignalsWhileConfigurationIsRead(t *testing.T) {
	for _, drain := range []bool{false, true} {
		p, config := prepare(t)
		p.makeConfigPipe(t)
		p.start(t)
		f := p.openConfigPipe(t)
		p.signal(t, syscall.SIGHUP, syscall.SIGUSR1)
		if drain {
			p.signal(t, syscall.SIGTERM)
		}
		_ = os.Remove(p.path) // the open pipe stays usable; the next reload reads the file
		if err := os.WriteFile(p.path, []byte(config), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := f.WriteString(config); err != nil {
			t.Fatal(err)
		}
		f.Close()
		if drain {
			io.Copy(io.Discard, p.log)
		} else {
			p.connect(t)
			if run := p.sendRequest(t, 1); run[1] == "" {
				t.Fatal("the engine received no run")
			}
			p.routerConn.Close()
			p.signal(t, syscall.SIGTERM)
			io.Copy(io.Discard, p.log)
		}
		if err := p.cmd.Wait(); err != nil {
			t.Errorf("drain %v: exit %v", drain, err)
		}
	}
}

// TestDrainNoticeDoesNotWaitForReload sends the drain notice while a reload blocks on the configuration file and other
// signals are pending. The notice must neither wait for the file nor be dropped because four signals are queued.
func TestDrainNoticeDoesNotWaitForReload(t *testing.T) {
	p := startServing(t)
	run := p.sendRequest(t, 1)
	config, err := os.ReadFile(p.path)
	if err != nil {
		t.Fatal(err)
	}
	p.makeConfigPipe(t)
	p.signal(t, syscall.SIGHUP)
	f := p.openConfigPipe(t)
	for range 3 {
		p.signal(t, syscall.SIGHUP, syscall.SIGUSR1)
		p.waitForLine(t, p.log, "counters: ")
	}
	p.signal(t, syscall.SIGTERM)
	if got := strings.Join(p.readMessages(t, 1), ", "); got != "goaway 0 0" {
		t.Fatalf("after the drain notice: %s", got)
	}
	_ = os.Remove(p.path)
	if err := os.WriteFile(p.path, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := f.Write(config); err != nil {
		t.Fatal(err)
	}
	f.Close()
	p.waitForLine(t, p.log, "configuration read anew")
	p.waitForLine(t, p.log, "the old settings stay in force") // the signals received meanwhile cause one more reload
	fmt.Fprintf(p.engineConn, "DONE 1 %s fine 5 2\r\nok\r\n", run[1])
	if got := strings.Join(p.readMessages(t, 1), ", "); got != "serve 1 0" {
		t.Fatalf("answer in the drain: %s", got)
	}
	p.expectExit(t, "answers_served=1", "configurations_reloaded=1", "configurations_turned_down=1")
}

// waitForLine skips lines until one contains the word, and returns it.
func (p *process) waitForLine(t *testing.T, r *bufio.Reader, word string) string {
	t.Helper()
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			t.Fatalf("no line with %q: %v", word, err)
		}
		if strings.Contains(line, word) {
			return strings.TrimSpace(line)
		}
	}
}

// acceptEngineConn accepts the next engine connection and sends HELLO and the given missed messages.
func (p *process) acceptEngineConn(t *testing.T, last int, missed ...string) {
	t.Helper()
	var err error
	if p.engineConn, err = p.engine.Accept(); err != nil {
		t.Fatal(err)
	}
	p.engineConn.SetDeadline(time.Now().Add(20 * time.Second))
	p.engineInput = bufio.NewReader(p.engineConn)
	p.waitForLine(t, p.engineInput, fmt.Sprintf("ATTACH %d\r", last))
	fmt.Fprintf(p.engineConn, "HELLO running 0\r\n%sSTATS g1 0 0 0 0\r\n", strings.Join(missed, ""))
}

// sendRequest sends a request and returns the words of its RUN line.
func (p *process) sendRequest(t *testing.T, seq int32) []string {
	t.Helper()
	fields := [][2]string{{"verb", "note-save"}, {"txn", fmt.Sprintf("%016x", seq)}, {"unique", fmt.Sprint(seq)},
		{"door", fmt.Sprint(time.Now().UnixMilli())}, {"lb", "1"}, {"team", "hills-college"}, {"limit", "3000"}, {"ram", "9"}, {"standing", "0.5"}}
	p.routerConn.Write(thrift.AppendFrame(nil, func(b []byte) []byte {
		b = thrift.AppendHeader(b, thrift.Header{Type: thrift.Call, Name: "serve", Seq: seq})
		b = thrift.AppendStringMap(thrift.AppendField(b, thrift.Map, 1), fields)
		return thrift.AppendStop(thrift.AppendString(thrift.AppendField(b, thrift.String, 2), "note"))
	}))
	return strings.Fields(p.waitForLine(t, p.engineInput, "RUN "))
}

// readMessages reads n messages at the router, fewer if the connection ends before.
func (p *process) readMessages(t *testing.T, n int) (names []string) {
	t.Helper()
	var in []byte
	for buf := make([]byte, 4096); len(names) < n; {
		payload, rest, err := thrift.Frame(in)
		if err != nil {
			t.Fatal(err)
		}
		if payload != nil {
			r := thrift.NewReader(payload)
			h := r.Header()
			_, kind := r.Field()
			names, in = append(names, fmt.Sprintf("%s %d %d", h.Name, h.Seq, kind)), rest
			continue
		}
		k, err := p.routerConn.Read(buf)
		if err != nil {
			return names
		}
		in = append(in, buf[:k]...)
	}
	return names
}

// TestLostEngineConnectionAndDrainLoseNoRequest breaks the engine connection during a run and sends the drain
// notice during another run. Both requests must be answered exactly once, and the process exit with code 0.
func TestLostEngineConnectionAndDrainLoseNoRequest(t *testing.T) {
	p := startServing(t)
	run := p.sendRequest(t, 1)
	p.engineConn.Close()
	p.acceptEngineConn(t, 0, "DONE 1 "+run[1]+" fine 5 2\r\nok\r\n")
	if got := strings.Join(p.readMessages(t, 1), ", "); got != "serve 1 0" {
		t.Fatalf("answer after the lost connection: %s", got)
	}
	run = p.sendRequest(t, 2)
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if got := strings.Join(p.readMessages(t, 1), ", "); got != "goaway 0 0" {
		t.Fatalf("after the drain notice: %s", got)
	}
	fmt.Fprintf(p.engineConn, "DONE 2 %s fine 5 2\r\nok\r\n", run[1])
	if got := strings.Join(p.readMessages(t, 1), ", "); got != "serve 2 0" {
		t.Fatalf("answer in the drain: %s", got)
	}
	p.expectExit(t, "answers_served=2", "engine_links_lost=1")
}

// expectExit closes the router connection and checks that the process exits with code 0 and logs these counters.
func (p *process) expectExit(t *testing.T, counterValues ...string) {
	t.Helper()
	p.routerConn.Close()
	counters := p.waitForLine(t, p.log, "counters: ")
	io.Copy(io.Discard, p.log)
	err := p.cmd.Wait()
	for _, word := range append(counterValues, "invariants_broken=0") {
		if err != nil || !strings.Contains(counters, word) {
			t.Errorf("exit error %v, want counter %s in %s", err, word, counters)
		}
	}
}

// reload replaces the configuration file, sends SIGHUP and waits for the log text.
func (p *process) reload(t *testing.T, config, logText string) {
	t.Helper()
	if err := os.WriteFile(p.path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	p.waitForLine(t, p.log, logText)
}

// TestReloadMovesEngineConnection sends SIGHUP during a run and during a drain, each time first with an invalid
// configuration and then with a new engine address. The runs must continue at the new engine and be answered once.
// Without its handler, SIGHUP kills the process.
func TestReloadMovesEngineConnection(t *testing.T) {
	p := startServing(t)
	move := func(last int) {
		t.Helper()
		good, err := os.ReadFile(p.path)
		if err != nil {
			t.Fatal(err)
		}
		next, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { next.Close() })
		p.reload(t, "{", "the old settings stay in force")
		old := p.engine
		p.engine = next
		p.reload(t, strings.ReplaceAll(string(good), old.Addr().String(), next.Addr().String()), "configuration read anew")
		if _, err := io.Copy(io.Discard, p.engineInput); err != nil { // the process closes the old connection
			t.Fatal(err)
		}
		p.engineConn.Close()
		p.acceptEngineConn(t, last)
	}
	run := p.sendRequest(t, 1)
	move(0)
	fmt.Fprintf(p.engineConn, "DONE 1 %s fine 5 2\r\nok\r\n", run[1])
	if got := strings.Join(p.readMessages(t, 1), ", "); got != "serve 1 0" {
		t.Fatalf("answer after the move: %s", got)
	}
	run = p.sendRequest(t, 2)
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if got := strings.Join(p.readMessages(t, 1), ", "); got != "goaway 0 0" {
		t.Fatalf("after the drain notice: %s", got)
	}
	move(1)
	fmt.Fprintf(p.engineConn, "DONE 2 %s fine 5 2\r\nok\r\n", run[1])
	if got := strings.Join(p.readMessages(t, 1), ", "); got != "serve 2 0" {
		t.Fatalf("answer in the drain: %s", got)
	}
	// The old engine has not confirmed the runs: they must not be sent again, as a save could be executed twice.
	p.expectExit(t, "answers_served=2", "configurations_reloaded=2", "configurations_turned_down=2", "runs_in_doubt=2", "engine_runs_sent=2")
}

// TestPartialRequestDoesNotLoseLastAnswer sends a partial request after a complete one before the drain, and reads the
// answer only after the process has exited. The answer must be complete and followed by the end of the connection, not
// by a reset.
func TestPartialRequestDoesNotLoseLastAnswer(t *testing.T) {
	p, config := prepare(t)
	if err := os.WriteFile(p.path, []byte(strings.Replace(config, `"stop_ms": 3200`, `"stop_ms": 900`, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	p.start(t)
	p.connect(t)
	run := p.sendRequest(t, 1)
	if _, err := p.routerConn.Write([]byte{0, 0, 1, 0, 0x80, 1}); err != nil {
		t.Fatal(err)
	}
	p.signal(t, syscall.SIGTERM)
	if got := strings.Join(p.readMessages(t, 1), ", "); got != "goaway 0 0" {
		t.Fatalf("after the drain notice: %s", got)
	}
	fmt.Fprintf(p.engineConn, "DONE 1 %s fine 5 2\r\nok\r\n", run[1])
	p.waitForLine(t, p.log, "connections_ended_exit=1")
	if err := p.cmd.Wait(); err != nil {
		t.Errorf("exit %v", err)
	}
	if got := strings.Join(p.readMessages(t, 1), ", "); got != "serve 1 0" {
		t.Errorf("last answer: %s", got)
	}
	if _, err := p.routerConn.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("read after the last answer: %v, want EOF", err)
	}
}

// TestStartWaitsForAddressInUse starts a replica while its predecessor, which may exit late, still has the address. The
// replica must not exit with an error but serve once the address is free, and exit if it gets a drain notice before that.
func TestStartWaitsForAddressInUse(t *testing.T) {
	for _, drain := range []bool{false, true} {
		old, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		p, config := prepare(t)
		if err := os.WriteFile(p.path, []byte(strings.Replace(config, "127.0.0.1:0", old.Addr().String(), 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		p.start(t)
		p.waitForLine(t, p.log, "address already in use: waiting for it")
		if drain {
			p.signal(t, syscall.SIGTERM)
			io.Copy(io.Discard, p.log)
			old.Close()
		} else {
			old.Close()
			p.connect(t)
			p.routerConn.Close()
			p.signal(t, syscall.SIGTERM)
			io.Copy(io.Discard, p.log)
		}
		if err := p.cmd.Wait(); err != nil {
			t.Errorf("drain %v: exit %v", drain, err)
		}
	}
}
