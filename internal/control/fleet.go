package control

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"cairnlane/internal/decide/lease"
	"cairnlane/internal/fleet"
)

// Fleet is what the socket shows and does of a box's fleet.
type Fleet interface {
	Status() fleet.Status
	Members() []fleet.Member
	Leases() []fleet.LeaseStatus
	Marks() map[string][]lease.Mark // of the boxes' audits
	Init(terms lease.Terms, voters []string) error
	Recover() error
	ChangeVoters(how string, names []string) error // add, remove or replace; replace takes the old and the new name
	Free(token uint64) error
	StopEarly(token uint64) error

	// Begin asks for a slot that the caller comes back for with Poll, and gives back with End.
	Begin(r lease.Request) (uint64, error)
	Poll(id uint64, wait time.Duration) (fleet.RunStatus, error)
	Command(id uint64, pgid int) error
	End(id uint64) error

	// Maintain asks for a slot to take this box out of service. Enter does so, once it is granted.
	Maintain() (uint64, error)
	Enter(id uint64, what string) error // drain or stop
}

// ErrNoFleet says that the box is in none.
var ErrNoFleet = errors.New("this box is in no fleet; give its configuration a fleet block, as in deploy/fleet.hcl, and start it anew")

// fleetCalls adds the calls of a fleet.
func fleetCalls(mux *http.ServeMux, d Daemon) {
	handle := func(pattern string, do func(f Fleet, r *http.Request) (any, error)) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			f := d.Fleet()
			if f == nil {
				reply(w, nil, ErrNoFleet)
				return
			}
			v, err := do(f, r)
			reply(w, v, err)
		})
	}
	act := func(pattern string, do func(f Fleet, r *http.Request) error) {
		handle(pattern, func(f Fleet, r *http.Request) (any, error) { return struct{}{}, do(f, r) })
	}
	number := func(r *http.Request, name string) uint64 {
		n, _ := strconv.ParseUint(r.PathValue(name), 10, 64)
		return n
	}
	handle("GET /fleet/status", func(f Fleet, _ *http.Request) (any, error) { return f.Status(), nil })
	handle("GET /fleet/members", func(f Fleet, _ *http.Request) (any, error) { return f.Members(), nil })
	handle("GET /fleet/leases", func(f Fleet, _ *http.Request) (any, error) { return f.Leases(), nil })
	handle("GET /fleet/marks", func(f Fleet, _ *http.Request) (any, error) { return f.Marks(), nil })
	act("POST /fleet/init", func(f Fleet, r *http.Request) error {
		term, terr := time.ParseDuration(r.FormValue("term"))
		drift, derr := strconv.ParseFloat(r.FormValue("drift"), 64)
		if err := errors.Join(terr, derr); err != nil {
			return err
		}
		return f.Init(lease.Terms{Term: term, Drift: drift}, strings.Split(r.FormValue("voters"), ","))
	})
	act("POST /fleet/recover", func(f Fleet, _ *http.Request) error { return f.Recover() })
	act("POST /fleet/voters/{how}", func(f Fleet, r *http.Request) error {
		return f.ChangeVoters(r.PathValue("how"), strings.Split(r.FormValue("names"), ","))
	})
	act("POST /fleet/leases/{token}/free", func(f Fleet, r *http.Request) error { return f.Free(number(r, "token")) })
	act("POST /fleet/leases/{token}/stop", func(f Fleet, r *http.Request) error { return f.StopEarly(number(r, "token")) })
	handle("POST /fleet/runs", func(f Fleet, r *http.Request) (any, error) {
		var q lease.Request
		if err := json.Unmarshal([]byte(r.FormValue("request")), &q); err != nil {
			return nil, fmt.Errorf("request: %w", err)
		}
		return f.Begin(q)
	})
	handle("GET /fleet/runs/{id}", func(f Fleet, r *http.Request) (any, error) {
		wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
		return f.Poll(number(r, "id"), wait)
	})
	act("POST /fleet/runs/{id}/command", func(f Fleet, r *http.Request) error {
		pgid, err := strconv.Atoi(r.FormValue("pgid"))
		if err != nil || pgid < 2 {
			return fmt.Errorf("%q is no process group", r.FormValue("pgid"))
		}
		return f.Command(number(r, "id"), pgid)
	})
	act("POST /fleet/runs/{id}/end", func(f Fleet, r *http.Request) error { return f.End(number(r, "id")) })
	handle("POST /fleet/maintenance", func(f Fleet, _ *http.Request) (any, error) { return f.Maintain() })
	act("POST /fleet/maintenance/{id}/{what}", func(f Fleet, r *http.Request) error { return f.Enter(number(r, "id"), r.PathValue("what")) })
}

// FleetClient asks a daemon of its fleet. It implements Fleet but for the errors of those that only show.
type FleetClient struct{ *Client }

// Fleet returns the calls of a fleet.
func (c *Client) Fleet() FleetClient { return FleetClient{c} }

func (c FleetClient) post(path string, form url.Values) error {
	return c.call("POST", path, form, &struct{}{})
}

// Status asks how the box stands to its fleet.
func (c FleetClient) Status() (s fleet.Status, err error) {
	return s, c.call("GET", "/fleet/status", nil, &s)
}

// Members lists the boxes of the fleet.
func (c FleetClient) Members() (l []fleet.Member, err error) {
	return l, c.call("GET", "/fleet/members", nil, &l)
}

// Leases lists who holds and waits for what.
func (c FleetClient) Leases() (l []fleet.LeaseStatus, err error) {
	return l, c.call("GET", "/fleet/leases", nil, &l)
}

// Marks are the heads of the boxes' audits that the ledger has.
func (c FleetClient) Marks() (m map[string][]lease.Mark, err error) {
	return m, c.call("GET", "/fleet/marks", nil, &m)
}

// Init begins a fleet with this box.
func (c FleetClient) Init(terms lease.Terms, voters []string) error {
	return c.post("/fleet/init", url.Values{"term": {terms.Term.String()}, "drift": {strconv.FormatFloat(terms.Drift, 'g', -1, 64)}, "voters": {strings.Join(voters, ",")}})
}

// Recover begins the ledger anew from what this box knows.
func (c FleetClient) Recover() error { return c.post("/fleet/recover", nil) }

// ChangeVoters adds, removes or replaces.
func (c FleetClient) ChangeVoters(how string, names []string) error {
	return c.post("/fleet/voters/"+url.PathEscape(how), url.Values{"names": {strings.Join(names, ",")}})
}

// Free gives back a slot whose box is gone.
func (c FleetClient) Free(token uint64) error {
	return c.post(fmt.Sprintf("/fleet/leases/%d/free", token), nil)
}

// StopEarly asks a holder to stop.
func (c FleetClient) StopEarly(token uint64) error {
	return c.post(fmt.Sprintf("/fleet/leases/%d/stop", token), nil)
}

// Begin asks for a slot.
func (c FleetClient) Begin(r lease.Request) (id uint64, err error) {
	raw, err := json.Marshal(r)
	if err != nil {
		return 0, err
	}
	return id, c.call("POST", "/fleet/runs", url.Values{"request": {string(raw)}}, &id)
}

// Poll tells how a slot stands, when it has changed or wait is over.
func (c FleetClient) Poll(id uint64, wait time.Duration) (s fleet.RunStatus, err error) {
	return s, c.call("GET", fmt.Sprintf("/fleet/runs/%d?wait=%v", id, wait), nil, &s)
}

// Command says which process group acts under a slot.
func (c FleetClient) Command(id uint64, pgid int) error {
	return c.post(fmt.Sprintf("/fleet/runs/%d/command", id), url.Values{"pgid": {strconv.Itoa(pgid)}})
}

// End gives a slot back.
func (c FleetClient) End(id uint64) error { return c.post(fmt.Sprintf("/fleet/runs/%d/end", id), nil) }

// Maintain asks for a slot to take the box out of service.
func (c FleetClient) Maintain() (id uint64, err error) {
	return id, c.call("POST", "/fleet/maintenance", nil, &id)
}

// Enter takes the box out of service under a slot.
func (c FleetClient) Enter(id uint64, what string) error {
	return c.post(fmt.Sprintf("/fleet/maintenance/%d/%s", id, url.PathEscape(what)), nil)
}
