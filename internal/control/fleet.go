package control

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"cairnlane/internal/decide/lease"
	"cairnlane/internal/decide/rollout"
	"cairnlane/internal/fleet"
)

// Fleet is the box's part of a fleet, as the control socket serves it.
type Fleet interface {
	Status() fleet.Status
	Members() []fleet.Member
	Leases() []fleet.LeaseStatus
	AuditHeads() map[string][]lease.Mark // by box
	Init(terms lease.Terms, voters []string) error
	Recover() error
	ChangeVoters(how string, names []string) error // how is add, remove or replace; replace takes the old and the new name
	AuditFolder() string
	Load() fleet.LoadStatus
	Rollouts() fleet.Rollouts
	Body(n uint64) ([]byte, error)
	PutConfig(src []byte, caller string) (uint64, error)
	StartRollout(n uint64, p rollout.Plan, caller string) error
	ChangeRollout(kind rollout.Kind, why, caller string) error
	SetLowest(n uint64) error
	RecordOperatorCall(caller, what string, err error) // records an operator's call in the audit
	Free(token uint64) error
	StopEarly(token uint64) error

	// Begin requests a slot, which the caller polls for with Poll and releases with End.
	Begin(r lease.Request) (uint64, error)
	Poll(id uint64, wait time.Duration) (fleet.RunStatus, error)
	Command(id uint64, pgid int) error
	End(id uint64) error

	// RequestMaintenance requests a slot to take this box out of service. EnterMaintenance takes it out once
	// the slot is granted.
	RequestMaintenance() (uint64, error)
	EnterMaintenance(id uint64, what string) error // what is drain or stop
}

// ErrNoFleet is the error of fleet calls to a box that is in no fleet.
var ErrNoFleet = errors.New("this box is in no fleet; add a fleet block to its configuration, as in deploy/fleet.hcl, and restart it")

// registerFleetCalls registers the handlers of the fleet calls.
func registerFleetCalls(mux *http.ServeMux, d Daemon) {
	handle := func(pattern string, do func(f Fleet, r *http.Request) (any, error)) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			f := d.Fleet()
			if f == nil {
				reply(w, nil, ErrNoFleet)
				return
			}
			v, err := do(f, r)
			if r.Method == http.MethodPost && !strings.HasPrefix(pattern, "POST /fleet/runs") {
				f.RecordOperatorCall(callerOf(r), auditText(r), err)
			}
			reply(w, v, err)
		})
	}
	handleAction := func(pattern string, do func(f Fleet, r *http.Request) error) {
		handle(pattern, func(f Fleet, r *http.Request) (any, error) { return struct{}{}, do(f, r) })
	}
	number := func(r *http.Request, name string) uint64 {
		n, _ := strconv.ParseUint(r.PathValue(name), 10, 64)
		return n
	}
	handle("GET /fleet/status", func(f Fleet, _ *http.Request) (any, error) { return f.Status(), nil })
	handle("GET /fleet/members", func(f Fleet, _ *http.Request) (any, error) { return f.Members(), nil })
	handle("GET /fleet/leases", func(f Fleet, _ *http.Request) (any, error) { return f.Leases(), nil })
	handle("GET /fleet/load", func(f Fleet, _ *http.Request) (any, error) { return f.Load(), nil })
	handle("GET /fleet/audit", func(f Fleet, _ *http.Request) (any, error) { return f.AuditFolder(), nil })
	handle("GET /fleet/rollouts", func(f Fleet, _ *http.Request) (any, error) { return f.Rollouts(), nil })
	handle("GET /fleet/config/{n}", func(f Fleet, r *http.Request) (any, error) {
		b, err := f.Body(number(r, "n"))
		return string(b), err
	})
	handle("POST /fleet/config", func(f Fleet, r *http.Request) (any, error) {
		return f.PutConfig([]byte(r.FormValue("body")), callerOf(r))
	})
	handleAction("POST /fleet/rollout/{n}", func(f Fleet, r *http.Request) error {
		p := rollout.DefaultPlan
		if err := json.Unmarshal([]byte(r.FormValue("plan")), &p); err != nil {
			return fmt.Errorf("plan: %w", err)
		}
		return f.StartRollout(number(r, "n"), p, callerOf(r))
	})
	handleAction("POST /fleet/rollout/change/{how}", func(f Fleet, r *http.Request) error {
		kind, ok := map[string]rollout.Kind{"hold": rollout.Hold, "resume": rollout.Resume, "abort": rollout.Abort}[r.PathValue("how")]
		if !ok {
			return fmt.Errorf("unknown rollout change %q; must be hold, resume or abort", r.PathValue("how"))
		}
		return f.ChangeRollout(kind, r.FormValue("why"), callerOf(r))
	})
	handleAction("POST /fleet/lowest/{n}", func(f Fleet, r *http.Request) error { return f.SetLowest(number(r, "n")) })
	handle("GET /fleet/marks", func(f Fleet, _ *http.Request) (any, error) { return f.AuditHeads(), nil })
	handleAction("POST /fleet/init", func(f Fleet, r *http.Request) error {
		term, terr := time.ParseDuration(r.FormValue("term"))
		drift, derr := strconv.ParseFloat(r.FormValue("drift"), 64)
		if err := errors.Join(terr, derr); err != nil {
			return err
		}
		return f.Init(lease.Terms{Term: term, Drift: drift}, strings.Split(r.FormValue("voters"), ","))
	})
	handleAction("POST /fleet/recover", func(f Fleet, _ *http.Request) error { return f.Recover() })
	handleAction("POST /fleet/voters/{how}", func(f Fleet, r *http.Request) error {
		return f.ChangeVoters(r.PathValue("how"), strings.Split(r.FormValue("names"), ","))
	})
	handleAction("POST /fleet/leases/{token}/free", func(f Fleet, r *http.Request) error { return f.Free(number(r, "token")) })
	handleAction("POST /fleet/leases/{token}/stop", func(f Fleet, r *http.Request) error { return f.StopEarly(number(r, "token")) })
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
	handleAction("POST /fleet/runs/{id}/command", func(f Fleet, r *http.Request) error {
		pgid, err := strconv.Atoi(r.FormValue("pgid"))
		if err != nil || pgid < 2 {
			return fmt.Errorf("%q is not a process group number", r.FormValue("pgid"))
		}
		return f.Command(number(r, "id"), pgid)
	})
	handleAction("POST /fleet/runs/{id}/end", func(f Fleet, r *http.Request) error { return f.End(number(r, "id")) })
	handle("POST /fleet/maintenance", func(f Fleet, _ *http.Request) (any, error) { return f.RequestMaintenance() })
	handleAction("POST /fleet/maintenance/{id}/{what}", func(f Fleet, r *http.Request) error { return f.EnterMaintenance(number(r, "id"), r.PathValue("what")) })
}

// auditText describes a call for the audit: its path and its form values, except the contents of configurations.
func auditText(r *http.Request) string {
	var b strings.Builder
	b.WriteString(strings.TrimPrefix(r.URL.Path, "/fleet/"))
	for _, k := range slices.Sorted(maps.Keys(r.PostForm)) {
		if k != "body" {
			fmt.Fprintf(&b, " %s=%s", k, r.PostForm.Get(k))
		}
	}
	return b.String()
}

// FleetClient makes the fleet calls of a daemon. It has a method for each call of Fleet, each of which can also return
// an error of the connection.
type FleetClient struct{ *Client }

// Fleet returns a client for the fleet calls.
func (c *Client) Fleet() FleetClient { return FleetClient{c} }

func (c FleetClient) post(path string, form url.Values) error {
	return c.call("POST", path, form, &struct{}{})
}

// Status returns the box's state in the fleet.
func (c FleetClient) Status() (s fleet.Status, err error) {
	return s, c.call("GET", "/fleet/status", nil, &s)
}

// Load returns the load of the fleet.
func (c FleetClient) Load() (s fleet.LoadStatus, err error) {
	return s, c.call("GET", "/fleet/load", nil, &s)
}

// AuditFolder returns the folder of the box's audit.
func (c FleetClient) AuditFolder() (dir string, err error) {
	return dir, c.call("GET", "/fleet/audit", nil, &dir)
}

// Rollouts returns the state of the configurations and their rollouts.
func (c FleetClient) Rollouts() (s fleet.Rollouts, err error) {
	return s, c.call("GET", "/fleet/rollouts", nil, &s)
}

// Body returns the contents of a numbered configuration.
func (c FleetClient) Body(n uint64) ([]byte, error) {
	var s string
	err := c.call("GET", fmt.Sprintf("/fleet/config/%d", n), nil, &s)
	return []byte(s), err
}

// PutConfig submits a configuration, which is checked, stored and numbered, and returns its number.
func (c FleetClient) PutConfig(src []byte) (n uint64, err error) {
	return n, c.call("POST", "/fleet/config", url.Values{"body": {string(src)}}, &n)
}

// StartRollout starts a rollout of configuration n.
func (c FleetClient) StartRollout(n uint64, p rollout.Plan) error {
	raw, err := json.Marshal(p)
	if err != nil {
		return err
	}
	return c.post(fmt.Sprintf("/fleet/rollout/%d", n), url.Values{"plan": {string(raw)}})
}

// ChangeRollout holds, resumes or aborts the running rollout.
func (c FleetClient) ChangeRollout(how, why string) error {
	return c.post("/fleet/rollout/change/"+how, url.Values{"why": {why}})
}

// SetLowest sets the lowest configuration number that the fleet allows.
func (c FleetClient) SetLowest(n uint64) error {
	return c.post(fmt.Sprintf("/fleet/lowest/%d", n), nil)
}

// Members lists the boxes of the fleet.
func (c FleetClient) Members() (l []fleet.Member, err error) {
	return l, c.call("GET", "/fleet/members", nil, &l)
}

// Leases lists the leases with their holders and waiters.
func (c FleetClient) Leases() (l []fleet.LeaseStatus, err error) {
	return l, c.call("GET", "/fleet/leases", nil, &l)
}

// AuditHeads returns the audit heads of the boxes that the ledger holds.
func (c FleetClient) AuditHeads() (m map[string][]lease.Mark, err error) {
	return m, c.call("GET", "/fleet/marks", nil, &m)
}

// Init creates the fleet, beginning at this box.
func (c FleetClient) Init(terms lease.Terms, voters []string) error {
	return c.post("/fleet/init", url.Values{"term": {terms.Term.String()}, "drift": {strconv.FormatFloat(terms.Drift, 'g', -1, 64)}, "voters": {strings.Join(voters, ",")}})
}

// Recover creates a new ledger from the state that this box has.
func (c FleetClient) Recover() error { return c.post("/fleet/recover", nil) }

// ChangeVoters adds, removes or replaces voters.
func (c FleetClient) ChangeVoters(how string, names []string) error {
	return c.post("/fleet/voters/"+url.PathEscape(how), url.Values{"names": {strings.Join(names, ",")}})
}

// Free releases a slot whose box is lost.
func (c FleetClient) Free(token uint64) error {
	return c.post(fmt.Sprintf("/fleet/leases/%d/free", token), nil)
}

// StopEarly asks the holder of a lease to stop.
func (c FleetClient) StopEarly(token uint64) error {
	return c.post(fmt.Sprintf("/fleet/leases/%d/stop", token), nil)
}

// Begin requests a slot and returns the id of the request.
func (c FleetClient) Begin(r lease.Request) (id uint64, err error) {
	raw, err := json.Marshal(r)
	if err != nil {
		return 0, err
	}
	return id, c.call("POST", "/fleet/runs", url.Values{"request": {string(raw)}}, &id)
}

// Poll returns the state of a slot request once it has changed or the wait is over.
func (c FleetClient) Poll(id uint64, wait time.Duration) (s fleet.RunStatus, err error) {
	return s, c.call("GET", fmt.Sprintf("/fleet/runs/%d?wait=%v", id, wait), nil, &s)
}

// Command reports the process group that acts under a slot.
func (c FleetClient) Command(id uint64, pgid int) error {
	return c.post(fmt.Sprintf("/fleet/runs/%d/command", id), url.Values{"pgid": {strconv.Itoa(pgid)}})
}

// End releases a slot.
func (c FleetClient) End(id uint64) error { return c.post(fmt.Sprintf("/fleet/runs/%d/end", id), nil) }

// RequestMaintenance requests a slot to take the box out of service.
func (c FleetClient) RequestMaintenance() (id uint64, err error) {
	return id, c.call("POST", "/fleet/maintenance", nil, &id)
}

// EnterMaintenance takes the box out of service under a slot.
func (c FleetClient) EnterMaintenance(id uint64, what string) error {
	return c.post(fmt.Sprintf("/fleet/maintenance/%d/%s", id, url.PathEscape(what)), nil)
}
