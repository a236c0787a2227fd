package leases

import (
	"cmp"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"cairnlane/internal/lab/actor"
	"cairnlane/internal/lab/rig"
	"cairnlane/internal/standin/resource"
)

// judge checks the stand-in's notes.
func (f *Figures) judge(site *rig.Site, res *resource.Resource) {
	effects, now := res.Effects(), res.Now()
	began := time.Now().Add(-now)
	f.check(effects, res.Notes(), now, func(e resource.Effect) bool {
		// What was left unguarded: the process was stopped between the check and the end of its effect.
		for _, b := range site.Boxes {
			if b.Name == e.Box && e.Thing != commandThing {
				end := e.End
				if end == 0 {
					end = now
				}
				return e.Trap || b.Out(began.Add(e.Called), began.Add(end))
			}
		}
		return false
	})
}

// check counts what the histories show. stopped tells whether the process of an effect was stopped while it was under way.
func (f *Figures) check(effects []resource.Effect, notes []resource.Note, now time.Duration, stopped func(resource.Effect) bool) {
	byThing := map[string][]resource.Effect{}
	for _, e := range effects {
		if e.End == 0 {
			e.End = now
		}
		byThing[e.Thing] = append(byThing[e.Thing], e)
		f.Acts += btoi(e.Begin != 0)
		f.Fenced += btoi(e.Fenced)
		f.StaleTried += btoi(e.Stale)
	}
	f.Linearizable = true
	for thing, list := range byThing {
		f.overlaps(thing, list, stopped)
		if actor.Compares(thing) {
			f.stale(list)
			f.Linearizable = f.Linearizable && Register(list, now)
		}
	}
	f.Linearizable = f.Linearizable && Sequence(notes, now)
	f.back(notes)
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// overlaps counts the moments at which more tokens act on a thing than it has slots: a plain sweep over begins and ends.
func (f *Figures) overlaps(thing string, list []resource.Effect, stopped func(resource.Effect) bool) {
	var taken []resource.Effect
	for _, e := range list {
		if e.Begin != 0 {
			taken = append(taken, e)
		}
	}
	slices.SortFunc(taken, func(a, b resource.Effect) int { return cmp.Compare(a.Begin, b.Begin) })
	var open []resource.Effect
	last := ""
	for _, e := range taken {
		open = slices.DeleteFunc(open, func(o resource.Effect) bool { return o.End <= e.Begin })
		tokens, excused := map[uint64]bool{e.Token: true}, stopped(e)
		for _, o := range open {
			tokens[o.Token] = true
			excused = excused || o.Token != e.Token && stopped(o)
		}
		switch {
		case len(tokens) <= actor.Slots(thing):
		case excused && !actor.Compares(thing):
			f.Unguarded++
		default:
			f.Overlaps++
			f.note("%s: %d act at once at %v, %s under %d and %v", thing, len(tokens), e.Begin, e.Box, e.Token, open)
		}
		open = append(open, e)
		if last != "" && last != e.Box {
			f.Takeovers++
		}
		last = e.Box
	}
}

// stale counts effects that a thing took although it had taken one with a newer token before.
func (f *Figures) stale(list []resource.Effect) {
	sorted := slices.Clone(list)
	slices.SortFunc(sorted, func(a, b resource.Effect) int { return cmp.Compare(a.Begin, b.Begin) })
	newest := uint64(0)
	for _, e := range sorted {
		if e.Begin == 0 {
			continue
		}
		if e.Token < newest {
			f.StaleAccepted++
			f.note("%s was taken from %s under %d after %d", e.Thing, e.Box, e.Token, newest)
		}
		newest = max(newest, e.Token)
	}
}

// grants pairs each grant with the question before it.
func grants(notes []resource.Note) (list []grant) {
	type who struct {
		task string
		pid  int
	}
	asked := map[who]time.Duration{}
	for _, n := range notes {
		k := who{n.Task, n.Pid}
		switch n.What {
		case "asked":
			asked[k] = n.At
		case "granted":
			if at, ok := asked[k]; ok {
				list = append(list, grant{n.Task, n.Token, at, n.At, n.Pid})
				delete(asked, k)
			}
		}
	}
	return list
}

type grant struct {
	task        string
	token       uint64
	asked, told time.Duration
	pid         int
}

// back counts grants with a token that is not above that of one that was told before they were asked for.
func (f *Figures) back(notes []resource.Note) {
	list := grants(notes)
	for i, g := range list {
		for _, o := range list[:i] {
			if o.task == g.task && o.told < g.asked && o.token >= g.token {
				f.TokensBack++
				f.note("%s: token %d was given after %d", g.task, g.token, o.token)
				break
			}
		}
	}
}

// checkTime bounds a check of a history.
const checkTime = 20 * time.Second

// Register tells whether the effects on a thing that compares tokens are linearizable: as if each had happened at one moment
// between its announcement and its end, with a register of the newest token that takes no smaller one.
func Register(list []resource.Effect, now time.Duration) bool {
	type output struct{ known, taken bool }
	model := porcupine.Model{
		Init: func() any { return uint64(0) },
		Step: func(state, input, out any) (bool, any) {
			newest, token, o := state.(uint64), input.(uint64), out.(output)
			fits := token >= newest
			switch {
			case o.known && o.taken != fits:
				return false, newest
			case fits && o.taken:
				return true, token
			}
			return true, newest
		},
	}
	var ops []porcupine.Operation
	for i, e := range list {
		end := e.End
		if end == 0 {
			end = now
		}
		if e.Begin == 0 && !e.Stale {
			continue // announced and never begun
		}
		ops = append(ops, porcupine.Operation{ClientId: i, Input: e.Token, Call: int64(e.Called), Output: output{true, e.Begin != 0}, Return: int64(end)})
	}
	return porcupine.CheckOperationsTimeout(model, ops, checkTime) == porcupine.Ok
}

// Sequence tells whether grants are linearizable as those of a sequencer: each as if it had happened at one moment between the
// question and the answer, with a token above all before it on the task.
func Sequence(notes []resource.Note, now time.Duration) bool {
	model := porcupine.Model{
		Partition: func(history []porcupine.Operation) (parts [][]porcupine.Operation) {
			byTask := map[string][]porcupine.Operation{}
			for _, o := range history {
				byTask[o.Input.(string)] = append(byTask[o.Input.(string)], o)
			}
			for _, p := range byTask {
				parts = append(parts, p)
			}
			return parts
		},
		Init: func() any { return uint64(0) },
		Step: func(state, _, out any) (bool, any) {
			last, token := state.(uint64), out.(uint64)
			return token > last, max(token, last)
		},
	}
	var ops []porcupine.Operation
	for i, g := range grants(notes) {
		ops = append(ops, porcupine.Operation{ClientId: i, Input: g.task, Call: int64(g.asked), Output: g.token, Return: int64(g.told)})
	}
	return porcupine.CheckOperationsTimeout(model, ops, checkTime) == porcupine.Ok
}
