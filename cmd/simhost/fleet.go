package main

import (
	"fmt"
	"time"

	"cairnlane/internal/settings"
	"cairnlane/internal/wire"
	"cairnlane/policy"
)

// fleet holds the instances of this process; they share nothing but the reply being built.
type fleet struct {
	instances map[string]*instance
	actions   []wire.Action
}

// instance is one server's controller with the names its settings gave.
type instance struct {
	fleet   *fleet
	who     string
	ctl     *policy.Controller // nil once the settings were turned down
	classes map[string]int
	tenants map[string]int // 1 + index into the settings' tenants
}

var outcomes = map[string]policy.Outcome{
	"Ok": policy.Succeeded, "Failed": policy.Failed, "QueueFull": policy.TurnedAway,
	"TimedOut": policy.TimedOut, "ConnectError": policy.Unreachable,
	"ResetByPeer": policy.Interrupted, "Canceled": policy.Cancelled, "Ignored": policy.Moot,
}

// handle passes one event on; a panic in the module becomes a crash of its instance.
func (f *fleet) handle(moment int64, e *wire.Event) (err error) {
	if e.Name == "hello" {
		return f.begin(moment, e)
	}
	in := f.instances[e.Who]
	if in == nil {
		return fmt.Errorf("%q for instance %q, which was never begun", e.Name, e.Who)
	}
	if in.ctl == nil {
		return nil
	}
	defer in.reportPanic()
	in.dispatch(settings.Micros(moment), e)
	return nil
}

func (in *instance) reportPanic() {
	if p := recover(); p != nil {
		in.crash(fmt.Sprint(p))
	}
}

func (in *instance) crash(text string) {
	in.ctl = nil
	in.do(wire.Action{Name: "crash", Text: text})
}

func (in *instance) dispatch(now time.Duration, e *wire.Event) {
	id := policy.RequestID(e.Ticket)
	switch e.Name {
	case "inbound":
		in.arrive(now, e)
	case "result":
		in.ctl.Done(now, id, outcomes[e.Status], settings.Micros(e.Wait))
	case "wants-call":
		in.ctl.NeedsCall(now, id)
	case "came-back":
		in.ctl.Called(now, id, outcomes[e.Status], settings.Micros(e.Wait))
	case "fired":
		in.ctl.Tick(now, policy.Gauges{OnCores: e.Usage["on_cores"]})
	case "wind-down":
		in.ctl.Drain(now, settings.Micros(e.Due))
	case "expired":
		in.ctl.Gone(now, id)
	case "stop":
		delete(in.fleet.instances, in.who)
	}
}

func (in *instance) arrive(now time.Duration, e *wire.Event) {
	class, ok := in.classes[e.Class]
	if !ok {
		in.crash(fmt.Sprintf("request of unknown class %q", e.Class))
		return
	}
	in.ctl.Arrive(now, policy.Request{ID: policy.RequestID(e.Ticket), Class: class, Tenant: in.tenants[string(e.Team)],
		Retry: e.Retry, Caller: e.Caller, KB: e.KB, Rank: e.Rank, Earlier: policy.RequestID(e.Earlier),
		Expected: settings.Micros(e.Expected), Key: e.Key, Waited: settings.Micros(e.Backlog), Due: settings.Micros(e.Due)})
}

// begin builds a new instance from its settings, in place of any former life.
func (f *fleet) begin(moment int64, e *wire.Event) error {
	boot, err := settings.Decode(e.Boot)
	if err != nil {
		return fmt.Errorf("instance %q: %w", e.Who, err)
	}
	in := &instance{fleet: f, who: e.Who, classes: map[string]int{}, tenants: map[string]int{}}
	f.instances[e.Who] = in
	for i, l := range boot.Lanes {
		in.classes[l.Name] = i
	}
	for i, t := range boot.Tenants {
		in.tenants[t.Name] = i + 1
	}
	defer in.reportPanic()
	ctl, err := policy.New(settings.Micros(moment), boot.Policy(e.Seed), in)
	if err != nil {
		in.crash(err.Error())
		return nil
	}
	in.ctl = ctl
	return nil
}
