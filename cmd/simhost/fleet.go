package main

import (
	"fmt"
	"time"

	"cairnlane/internal/settings"
	"cairnlane/internal/wire"
	"cairnlane/policy"
)

// fleet holds the simulated servers of this process. They share nothing but the reply that is being built.
type fleet struct {
	instances map[string]*instance
	actions   []wire.Action
}

// instance is one simulated server: its controller and the names that its settings define.
type instance struct {
	fleet      *fleet
	name       string
	controller *policy.Controller // nil after a crash or invalid settings
	classes    map[string]int     // index into the settings' lanes, by name
	tenants    map[string]int     // 1 + index into the settings' tenants, by name
}

// outcomes maps the statuses of the protocol to outcomes.
var outcomes = map[string]policy.Outcome{
	"Ok": policy.Succeeded, "Failed": policy.Failed, "QueueFull": policy.Rejected,
	"TimedOut": policy.TimedOut, "ConnectError": policy.Unreachable,
	"ResetByPeer": policy.Interrupted, "Canceled": policy.Cancelled, "Ignored": policy.NotStarted,
}

// handle passes one event to its instance. A panic in the controller is reported as a crash of the instance.
func (f *fleet) handle(moment int64, e *wire.Event) (err error) {
	if e.Name == "hello" {
		return f.startInstance(moment, e)
	}
	in := f.instances[e.Instance]
	if in == nil {
		return fmt.Errorf("event %q for instance %q, which was never started", e.Name, e.Instance)
	}
	if in.controller == nil {
		return nil
	}
	defer in.reportPanic()
	in.dispatch(settings.Micros(moment), e)
	return nil
}

// reportPanic must be deferred; it turns a panic into a crash of the instance.
func (in *instance) reportPanic() {
	if p := recover(); p != nil {
		in.crash(fmt.Sprint(p))
	}
}

// crash reports that the instance has failed. It handles no further events.
func (in *instance) crash(text string) {
	in.controller = nil
	in.addAction(wire.Action{Name: "crash", Text: text})
}

// dispatch calls the method of the controller that handles the event.
func (in *instance) dispatch(now time.Duration, e *wire.Event) {
	id := policy.RequestID(e.RequestID)
	switch e.Name {
	case "inbound":
		in.arrive(now, e)
	case "result":
		in.controller.Done(now, id, outcomes[e.Status], settings.Micros(e.Elapsed))
	case "wants-call":
		in.controller.NeedsCall(now, id)
	case "came-back":
		in.controller.CallDone(now, id, outcomes[e.Status], settings.Micros(e.Elapsed))
	case "fired":
		in.controller.Tick(now, policy.Gauges{CoreDemand: e.Usage["on_cores"]})
	case "wind-down":
		in.controller.Drain(now, settings.Micros(e.Due))
	case "expired":
		in.controller.CallerGone(now, id)
	case "stop":
		delete(in.fleet.instances, in.name)
	}
}

func (in *instance) arrive(now time.Duration, e *wire.Event) {
	class, ok := in.classes[e.Class]
	if !ok {
		in.crash(fmt.Sprintf("request of unknown class %q", e.Class))
		return
	}
	in.controller.Arrive(now, policy.Request{ID: policy.RequestID(e.RequestID), Class: class, Tenant: in.tenants[string(e.Tenant)],
		Retry: e.Retry, Caller: e.Caller, KB: e.KB, Rank: e.Rank, RepeatOf: policy.RequestID(e.RepeatOf),
		Expected: settings.Micros(e.Expected), Key: e.Key, ReadWait: settings.Micros(e.ReadWait), Due: settings.Micros(e.Due)})
}

// startInstance creates an instance from its settings and replaces an earlier one of the same name.
func (f *fleet) startInstance(moment int64, e *wire.Event) error {
	boot, err := settings.Decode(e.Settings)
	if err != nil {
		return fmt.Errorf("instance %q: %w", e.Instance, err)
	}
	in := &instance{fleet: f, name: e.Instance, classes: map[string]int{}, tenants: map[string]int{}}
	f.instances[e.Instance] = in
	for i, lane := range boot.Lanes {
		in.classes[lane.Name] = i
	}
	for i, tenant := range boot.Tenants {
		in.tenants[tenant.Name] = i + 1
	}
	defer in.reportPanic()
	controller, err := policy.New(settings.Micros(moment), boot.Policy(e.Seed), in)
	if err != nil {
		in.crash(err.Error())
		return nil
	}
	in.controller = controller
	return nil
}
