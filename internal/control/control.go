// Package control implements the control socket of a running daemon: HTTP with JSON over a unix socket of mode 0600, which
// only the user that runs the daemon may open. No call on it delays the serving path.
package control

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"cairnlane/internal/certs"
	"cairnlane/internal/operator"
	"cairnlane/internal/state/keystore"
)

// Status is the state of a daemon.
type Status struct {
	Name      string           `json:"name"`
	Listen    string           `json:"listen"`
	TLS       string           `json:"tls,omitempty"`
	StartedAt time.Time        `json:"since"`
	Draining  bool             `json:"draining"`
	Counters  map[string]int64 `json:"counters"`
}

// Daemon is the daemon that the control socket serves.
type Daemon interface {
	Status() Status
	Operator() operator.Replica // for the calls of the admin listener
	Stop()                      // drains and exits
	Certificates() []certs.Status
	History(name string) ([]keystore.Event, error)
	Renew(name string) error
	Revoke(ctx context.Context, name string, reason int) error
	Fleet() Fleet // nil when the box is in no fleet
}

// Server serves the control socket.
type Server struct {
	path string
	http *http.Server
}

// callTimeout bounds a call. A revocation calls an authority.
const callTimeout = time.Minute

// Listen opens the socket. It replaces a socket file that a dead daemon has left, and fails if a daemon answers there.
func Listen(path string, d Daemon) (*Server, error) {
	if c, err := net.DialTimeout("unix", path, time.Second); err == nil {
		c.Close()
		return nil, fmt.Errorf("control: another daemon answers at %s", path)
	}
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("control: %w", err)
	}
	// The socket is created under a temporary name and renamed once its mode is set, so that it can never be opened with
	// a wider mode.
	temporary := path + "." + strconv.Itoa(os.Getpid())
	ln, err := net.Listen("unix", temporary)
	if err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	ln.(*net.UnixListener).SetUnlinkOnClose(false)
	if err := errors.Join(os.Chmod(temporary, 0o600), os.Rename(temporary, path)); err != nil {
		ln.Close()
		os.Remove(temporary)
		return nil, fmt.Errorf("control: %w", err)
	}
	s := &Server{path: path, http: &http.Server{Handler: handler(d), ReadTimeout: 5 * time.Second, WriteTimeout: callTimeout, MaxHeaderBytes: 8 << 10,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, callerKey{}, peerCredentials(c))
		}}}
	go s.http.Serve(ln)
	return s, nil
}

// Close closes the socket and removes its file.
func (s *Server) Close() error {
	return errors.Join(s.http.Close(), os.Remove(s.path))
}

func handler(d Daemon) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { reply(w, d.Status(), nil) })
	mux.HandleFunc("POST /stop", func(w http.ResponseWriter, _ *http.Request) { d.Stop(); reply(w, struct{}{}, nil) })
	mux.HandleFunc("POST /call/{call}", func(w http.ResponseWriter, r *http.Request) {
		call := r.PathValue("call")
		answer := string(operator.Answer(call, d.Operator()))
		if f := d.Fleet(); f != nil && strings.HasPrefix(call, "drain") {
			f.RecordOperatorCall(callerOf(r), call+" "+strings.TrimSpace(answer), nil)
		}
		reply(w, answer, nil)
	})
	mux.HandleFunc("GET /certificates", func(w http.ResponseWriter, _ *http.Request) { reply(w, d.Certificates(), nil) })
	mux.HandleFunc("GET /certificates/{name}/history", func(w http.ResponseWriter, r *http.Request) {
		list, err := d.History(r.PathValue("name"))
		reply(w, list, err)
	})
	mux.HandleFunc("POST /certificates/{name}/renew", func(w http.ResponseWriter, r *http.Request) {
		reply(w, struct{}{}, d.Renew(r.PathValue("name")))
	})
	mux.HandleFunc("POST /certificates/{name}/revoke", func(w http.ResponseWriter, r *http.Request) {
		reason, err := strconv.Atoi(r.FormValue("reason"))
		if err != nil || reason < 0 || reason > 10 || reason == 7 {
			reply(w, nil, fmt.Errorf("reason %q; RFC 5280 has 0 to 6 and 8 to 10", r.FormValue("reason")))
			return
		}
		reply(w, struct{}{}, d.Revoke(r.Context(), r.PathValue("name"), reason))
	})
	mux.Handle("GET /metrics", metricsHandler(d))
	registerFleetCalls(mux, d)
	return mux
}

type callerKey struct{}

// peerCredentials returns the user and process of a connection's peer, as the kernel reports them. The socket is open to one
// user, but root may call as well.
func peerCredentials(c net.Conn) string {
	u, ok := c.(*net.UnixConn)
	if !ok {
		return "unknown"
	}
	raw, err := u.SyscallConn()
	if err != nil {
		return "unknown"
	}
	caller := "unknown"
	raw.Control(func(fd uintptr) {
		if cred, err := unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED); err == nil {
			caller = fmt.Sprintf("user %d, process %d", cred.Uid, cred.Pid)
		}
	})
	return caller
}

func callerOf(r *http.Request) string {
	caller, _ := r.Context().Value(callerKey{}).(string)
	return caller
}

type errorAnswer struct {
	Error string `json:"error"`
}

func reply(w http.ResponseWriter, v any, err error) {
	w.Header().Set("Content-Type", "application/json")
	if err != nil {
		w.WriteHeader(http.StatusUnprocessableEntity)
		v = errorAnswer{err.Error()}
	}
	json.NewEncoder(w).Encode(v)
}

// Client calls a daemon over its control socket.
type Client struct {
	path string
	http http.Client
}

// NewClient returns a client of the daemon whose socket is at path.
func NewClient(path string) *Client {
	return &Client{path: path, http: http.Client{Timeout: callTimeout, Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "unix", path)
		}}}}
}

// maxAnswer bounds the answer that a client reads.
const maxAnswer = 4 << 20

func (c *Client) call(method, path string, form url.Values, v any) error {
	req, err := http.NewRequest(method, "http://daemon"+path, bytes.NewReader([]byte(form.Encode())))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("no daemon answers at %s (is it running, and is this the user that runs it?): %w", c.path, err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		var f errorAnswer
		if json.Unmarshal(raw, &f) == nil && f.Error != "" {
			return errors.New(f.Error)
		}
		return fmt.Errorf("the daemon answers %s to %s %s", resp.Status, method, path)
	}
	return json.Unmarshal(raw, v)
}

// Status returns the state of the daemon.
func (c *Client) Status() (s Status, err error) { return s, c.call("GET", "/status", nil, &s) }

// Stop makes the daemon drain and exit.
func (c *Client) Stop() error { return c.call("POST", "/stop", nil, &struct{}{}) }

// OperatorCall makes one of the calls of the admin listener.
func (c *Client) OperatorCall(call string) (string, error) {
	var answer string
	if err := c.call("POST", "/call/"+url.PathEscape(call), nil, &answer); err != nil {
		return "", err
	}
	return operator.ReadAnswer(strings.NewReader(answer))
}

// Certificates lists the certificates.
func (c *Client) Certificates() (l []certs.Status, err error) {
	return l, c.call("GET", "/certificates", nil, &l)
}

// History returns the events of a certificate.
func (c *Client) History(name string) (l []keystore.Event, err error) {
	return l, c.call("GET", "/certificates/"+url.PathEscape(name)+"/history", nil, &l)
}

// Renew requests the renewal of a certificate.
func (c *Client) Renew(name string) error {
	return c.call("POST", "/certificates/"+url.PathEscape(name)+"/renew", nil, &struct{}{})
}

// Revoke revokes a certificate at its authority and renews it.
func (c *Client) Revoke(name string, reason int) error {
	return c.call("POST", "/certificates/"+url.PathEscape(name)+"/revoke", url.Values{"reason": {strconv.Itoa(reason)}}, &struct{}{})
}
